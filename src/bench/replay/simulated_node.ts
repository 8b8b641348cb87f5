/** A process of the simulated fleet: entry, guard and the upstream instance. */
import { asOutcome, type Member, notRun, OutcomeError, Route, Team } from '../../contracts.js';
import { type Load } from '../../admission/load.js';
import { type Reservation, type Uplink, PIECE_BYTES } from '../../admission/uplink.js';
import { type JobResult, type Job } from '../../admission/concurrency_limiter.js';
import { Roster } from '../../membership/roster.js';
import { type Balancer } from '../../placement/balancer.js';
import { type EndpointStats } from '../../placement/endpoint_stats.js';
import { RetryBudgets } from '../../placement/retry_budget.js';
import { type ReturningCallers } from '../../placement/returning_callers.js';
import { AnswerSizes } from '../../placement/answer_sizes.js';
import { Attempts } from '../../requests/attempts.js';
import { EmptyBody } from '../../requests/body.js';
import { type RoutedRequest } from '../../requests/routed_request.js';
import { withRetryTime } from '../../requests/retry_time.js';
import { type Trace } from '../../logs/request_log.js';
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { type RequestKind } from './pattern.js';
import { type Limiter, type Policy } from './policy.js';
import { NetworkLink } from './network_link.js';
import { type Simulation } from './simulation.js';

/** One-way latency within a data centre and to another one, in milliseconds. */
const LOCAL_LATENCY_MS = 1;
const REMOTE_LATENCY_MS = 2;
const CONNECT_TIMEOUT_MS = 200;
const RETRY_PERCENT = 10;

/** A caller with one request and all its attempts. */
export interface SimulatedCaller {
  /** Identifies the request; the same in all attempts. */
  readonly asks: string;
  /** Instant until which the caller waits, in milliseconds since the epoch. */
  readonly givesUpAt: number;
  readonly team?: string | undefined;
}

export class SimulatedNode {
  #limiter!: Limiter;

  #balancer!: Balancer;

  #returningCallers!: ReturningCallers;

  #entryAnswerSizes!: AnswerSizes;

  #retryBudgets!: RetryBudgets;

  #restartCount = -1;

  readonly #link: NetworkLink;

  #uplink!: Uplink;

  /** Answer sizes by kind, as the guard measures them. */
  #guardAnswerSizes!: AnswerSizes;

  constructor(
    readonly member: Member,
    readonly index: number,
    private readonly speed: number,
    private readonly linkKbps: number | undefined,
    private readonly policy: Policy,
    private readonly simulation: Simulation,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#link = new NetworkLink(clock, linkKbps);
    this.#resetAfterRestart(0);
  }

  get dataCentre(): string {
    return this.member.dataCentre;
  }

  get upstream(): string {
    return this.member.endpoint!.upstream;
  }

  /** Handles a request as the entry does; rejects with the refusal. */
  async handleAsEntry(
    kind: RequestKind,
    { asks, givesUpAt, team }: SimulatedCaller,
  ): Promise<void> {
    const now = this.clock.now();
    this.#resetAfterRestart(this.simulation.schedule.restartCount(now));
    const caller = { asks, givesUpAt };
    const firstAt = this.#returningCallers.firstAt(caller, now);
    const deadline = Math.min(givesUpAt, now + kind.timeoutMs);
    const targetAt = Math.min(firstAt + kind.targetMs, deadline);
    try {
      await this.#callWithRetries(kind, this.#routedRequest(kind, deadline, targetAt, team));
    } catch (error) {
      this.#returningCallers.recordRefusal(caller, firstAt);
      throw withRetryTime(asOutcome(error), this.clock.now(), this.random);
    }
  }

  /** Handles a request as the guard does; resolves to whether the instance succeeded. */
  async handleAsGuard(kind: RequestKind, ticket: Job): Promise<boolean> {
    this.#resetAfterRestart(this.simulation.schedule.restartCount(this.clock.now()));
    const bytes = this.#guardAnswerSizes.largeAnswerBytes(kind.name);
    const heldMs = this.#limiter.heldMsOf(kind.name);
    const { targetAt = ticket.deadline, deadline } = ticket;
    using departure =
      bytes > 0 ? this.#uplink.admit({ bytes, heldMs, targetAt, deadline }) : undefined;
    let isSuccess = true;
    await this.#limiter.run(ticket, async (): Promise<JobResult> => {
      const startedAt = this.clock.now();
      isSuccess = await this.#execute(kind, ticket.deadline);
      this.#readRateLimit(startedAt);
      return { headMs: this.clock.now() - startedAt, isShed: false };
    });
    const answerBytes = this.#drawAnswerBytes(kind);
    this.#guardAnswerSizes.record(kind.name, answerBytes);
    departure?.resize(answerBytes);
    await this.#sendAnswer(answerBytes, deadline, departure);
    return isSuccess;
  }

  get load(): Load {
    return { ...this.#limiter.load, leavingMs: this.#uplink.backlogMs };
  }

  #drawAnswerBytes({ answerBytes, answerSpread }: RequestKind): number {
    if (answerSpread === 0) return answerBytes;
    return answerBytes * (1 + answerSpread * (2 * this.random.next() - 1));
  }

  /** Sends an answer, a large one in pieces; rejects if it is not sent by the deadline. */
  async #sendAnswer(
    bytes: number,
    deadline: number,
    departure: Reservation | undefined,
  ): Promise<void> {
    if (!departure) this.#uplink.recordSent(bytes);
    const pieceBytes = departure ? PIECE_BYTES : bytes;
    for (let left = bytes; left > 0; left -= pieceBytes) {
      const piece = Math.min(left, pieceBytes);
      await departure?.waitForTurn(piece);
      const hasLeft = await this.#link.send(piece, deadline);
      if (!hasLeft) throw deadlineExceeded();
    }
  }

  /** Discards all state if the processes have restarted since the last request. */
  #resetAfterRestart(restartCount: number): void {
    if (restartCount === this.#restartCount) return;
    this.#restartCount = restartCount;
    const { policy, clock, random } = this;
    const roster = new Roster(this.member);
    roster.merge(this.simulation.members);
    this.#limiter = policy.limiter(clock, this.member.endpoint!.slots);
    this.#balancer = policy.balancer(roster, clock, random);
    this.#returningCallers = policy.returns();
    this.#entryAnswerSizes = policy.weights();
    this.#guardAnswerSizes = new AnswerSizes();
    this.#uplink = policy.uplink(clock, this.linkKbps);
    this.#retryBudgets = new RetryBudgets(clock, random);
  }

  async #callWithRetries(kind: RequestKind, request: RoutedRequest): Promise<void> {
    const body = new EmptyBody();
    const attempts = new Attempts(request, body, this.#balancer, this.#retryBudgets, this.clock);
    let endpoint = attempts.first();
    for (;;) {
      const failure = await this.#attempt(kind, request, endpoint);
      if (!failure) return;
      const further = attempts.next(endpoint, failure);
      await this.clock.sleepUntil(further.startAt);
      endpoint = further.endpoint;
    }
  }

  async #attempt(
    kind: RequestKind,
    { deadline, targetAt, upstream, team }: RoutedRequest,
    endpoint: EndpointStats,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    const node = this.simulation.nodeOf(endpoint.member.instance);
    endpoint.inFlight += 1;
    endpoint.recordSent(startedAt);
    try {
      await this.#connectTo(node);
      const { priority, name } = kind;
      const onGone = () => {};
      const ticket = {
        priority,
        kind: name,
        team: team?.name,
        targetAt,
        deadline,
        limit: undefined,
        onGone,
      };
      const isSuccess = await node.handleAsGuard(kind, ticket);
      const tookMs = this.clock.now() - startedAt;
      this.#balancer.recordAnswer(endpoint, tookMs, node.load, !isSuccess);
      this.#retryBudgets.of(upstream).credit(RETRY_PERCENT);
      this.#entryAnswerSizes.record(name, kind.answerBytes);
      this.simulation.recordTransfer(this, node, kind.answerBytes);
      if (!isSuccess)
        throw new OutcomeError('the upstream instance failed', {
          verdict: 'ran',
          reason: 'failed',
        });
      return undefined;
    } catch (error) {
      const outcome = asOutcome(error);
      if (outcome.verdict === 'ran') throw outcome;
      const isHeard = outcome.reason !== 'unreachable';
      this.#balancer.recordRefusal(endpoint, outcome, isHeard ? node.load : undefined);
      return outcome;
    } finally {
      endpoint.inFlight -= 1;
    }
  }

  async #connectTo(node: SimulatedNode): Promise<void> {
    const { schedule } = this.simulation;
    const now = this.clock.now();
    const isLocal = node.dataCentre === this.dataCentre;
    const isReachable =
      !schedule.isPartitioned(this.dataCentre, node.dataCentre, now) && !schedule.areAllDown(now);
    const latencyMs = isLocal ? LOCAL_LATENCY_MS : REMOTE_LATENCY_MS;
    await this.clock.sleepUntil(now + (isReachable ? latencyMs : CONNECT_TIMEOUT_MS));
    if (!isReachable) throw notRun('unreachable', 'connecting to the process timed out');
    if (schedule.isDown(node.upstream, node.index, now)) {
      throw notRun('no-endpoint', 'the upstream instance is down');
    }
  }

  #readRateLimit(sentAt: number): void {
    const { schedule } = this.simulation;
    const perSecond = schedule.rateLimit(this.upstream, this.index, this.clock.now());
    this.#limiter.recordRateLimit(perSecond, sentAt);
  }

  /** Runs a request at the upstream instance; resolves to whether it succeeded. */
  async #execute(kind: RequestKind, deadline: number): Promise<boolean> {
    const { schedule } = this.simulation;
    const now = this.clock.now();
    if (this.random.next() < schedule.refusalRate(this.upstream, this.index, now)) {
      throw notRun('shed', 'the upstream instance refused: no free slot');
    }
    const workTimeFactor = schedule.workTimeFactor(this.upstream, this.index, now) / this.speed;
    const varied = 1 + kind.spread * (2 * this.random.next() - 1);
    const endAt = now + kind.workMs * varied * workTimeFactor;
    await this.clock.sleepUntil(Math.min(endAt, deadline));
    if (endAt > deadline) throw deadlineExceeded();
    const { call } = kind;
    if (!call || this.random.next() >= call.share) return true;
    return this.#callNested(this.simulation.kindOf(call.kind), deadline);
  }

  async #callNested(kind: RequestKind, deadline: number): Promise<boolean> {
    const givesUpAt = Math.min(deadline, this.clock.now() + kind.waitMs);
    return this.handleAsEntry(kind, { asks: this.random.nonce(), givesUpAt }).then(
      () => true,
      () => false,
    );
  }

  /** A routed request with only the fields that the decisions read. */
  #routedRequest(
    kind: RequestKind,
    deadline: number,
    targetAt: number,
    team: string | undefined,
  ): RoutedRequest {
    const { name, upstream, isRepeatable } = kind;
    const response = {
      headersSent: false,
      destroyed: false,
      setHeader: () => {},
      hasHeader: () => false,
    };
    const route = Route.parse({ kind: 'route', name, pathPrefix: '/', upstream });
    return {
      response,
      route,
      upstream,
      awayMs: this.#entryAnswerSizes.awayMs(name),
      deadline,
      targetAt,
      isRepeatable,
      retryPercent: RETRY_PERCENT,
      trace: { add: () => {} } satisfies Pick<Trace, 'add'>,
      isRetriedElsewhere: false,
      team:
        team === undefined ? undefined : Team.parse({ kind: 'team', name: team, keyDigests: [] }),
    } as unknown as RoutedRequest;
  }
}

function deadlineExceeded(): OutcomeError {
  return new OutcomeError('the deadline passed before the answer was complete', {
    verdict: 'may-have-run',
    reason: 'deadline',
  });
}
