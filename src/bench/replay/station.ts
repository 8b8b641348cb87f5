/** One process of the emulated fleet, with its upstream instance: entry, guard and instance. */
import { asOutcome, type Member, notRun, OutcomeError, Route } from '../../contracts.js';
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
import { type Clock } from '../../runtime/clock.js';
import { type Random } from '../../runtime/random.js';
import { type Kind } from './pattern.js';
import { type Gate, type Policy } from './policy.js';
import { Wire } from './wire.js';
import { type World } from './world.js';

/** One way within a data centre, and to another one, in milliseconds. */
const NEAR_MS = 1;
const FAR_MS = 2;
/** After so long a connection that does not come about is given up, in milliseconds. */
const CONNECT_MS = 200;
const RETRY_PERCENT = 10;

/** A caller with one request, over all its attempts. */
export interface Asker {
  readonly asks: string;
  /** In milliseconds since the epoch. */
  readonly givesUpAt: number;
}

export class Station {
  #gate!: Gate;

  #balancer!: Balancer;

  #returns!: ReturningCallers;

  #weights!: AnswerSizes;

  #budgets!: RetryBudgets;

  #life = -1;

  readonly #wire: Wire;

  #uplink!: Uplink;

  /** What answers by kind weigh, as seen beside the instance. */
  #beside!: AnswerSizes;

  constructor(
    readonly member: Member,
    readonly index: number,
    private readonly speed: number,
    private readonly linkKbps: number | undefined,
    private readonly policy: Policy,
    private readonly world: World,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.#wire = new Wire(clock, linkKbps);
    this.#begin(0);
  }

  get dataCentre(): string {
    return this.member.dataCentre;
  }

  get upstream(): string {
    return this.member.endpoint!.upstream;
  }

  /** Takes a request as an entry does; rejects with the refusal. */
  async ask(kind: Kind, { asks, givesUpAt }: Asker): Promise<void> {
    const now = this.clock.now();
    this.#begin(this.world.weather.lives(now));
    const caller = { asks, givesUpAt };
    const firstAt = this.#returns.firstAt(caller, now);
    const deadline = Math.min(givesUpAt, now + kind.timeoutMs);
    const targetAt = Math.min(firstAt + kind.targetMs, deadline);
    try {
      await this.#carry(kind, this.#journey(kind, deadline, targetAt));
    } catch (error) {
      this.#returns.recordRefusal(caller, firstAt);
      throw withRetryTime(asOutcome(error), this.clock.now(), this.random);
    }
  }

  /** Takes a request as a guard does; resolves to whether the instance answered it well. */
  async guard(kind: Kind, ticket: Job): Promise<boolean> {
    this.#begin(this.world.weather.lives(this.clock.now()));
    const bytes = this.#beside.largeAnswerBytes(kind.name);
    const heldMs = this.#gate.heldMsOf(kind.name);
    const { targetAt = ticket.deadline, deadline } = ticket;
    using departure =
      bytes > 0 ? this.#uplink.admit({ bytes, heldMs, targetAt, deadline }) : undefined;
    let isWell = true;
    await this.#gate.run(ticket, async (): Promise<JobResult> => {
      const startedAt = this.clock.now();
      isWell = await this.#work(kind, ticket.deadline);
      return { headMs: this.clock.now() - startedAt, isShed: false };
    });
    const answerBytes = this.#weigh(kind);
    this.#beside.record(kind.name, answerBytes);
    departure?.resize(answerBytes);
    await this.#leave(answerBytes, deadline, departure);
    return isWell;
  }

  get load(): Load {
    return { ...this.#gate.load, leavingMs: this.#uplink.backlogMs };
  }

  #weigh({ answerBytes, answerSpread }: Kind): number {
    if (answerSpread === 0) return answerBytes;
    return answerBytes * (1 + answerSpread * (2 * this.random.next() - 1));
  }

  /** Lets an answer go, a heavy one in pieces; rejects if it is not there by the deadline. */
  async #leave(bytes: number, deadline: number, departure: Reservation | undefined): Promise<void> {
    if (!departure) this.#uplink.recordSent(bytes);
    const pieceBytes = departure ? PIECE_BYTES : bytes;
    for (let left = bytes; left > 0; left -= pieceBytes) {
      const piece = Math.min(left, pieceBytes);
      await departure?.waitForTurn(piece);
      const hasLeft = await this.#wire.carry(piece, deadline);
      if (!hasLeft) throw tooLate();
    }
  }

  /** All processes know nothing after they have died together. */
  #begin(life: number): void {
    if (life === this.#life) return;
    this.#life = life;
    const { policy, clock, random } = this;
    const roster = new Roster(this.member);
    roster.merge(this.world.members);
    this.#gate = policy.gate(clock, this.member.endpoint!.slots);
    this.#balancer = policy.balancer(roster, clock, random);
    this.#returns = policy.returns();
    this.#weights = policy.weights();
    this.#beside = new AnswerSizes();
    this.#uplink = policy.uplink(clock, this.linkKbps);
    this.#budgets = new RetryBudgets(clock, random);
  }

  async #carry(kind: Kind, journey: RoutedRequest): Promise<void> {
    const body = new EmptyBody();
    const attempts = new Attempts(journey, body, this.#balancer, this.#budgets, this.clock);
    let endpoint = attempts.first();
    for (;;) {
      const failure = await this.#attempt(kind, journey, endpoint);
      if (!failure) return;
      const further = attempts.next(endpoint, failure);
      await this.clock.sleepUntil(further.startAt);
      endpoint = further.endpoint;
    }
  }

  async #attempt(
    kind: Kind,
    { deadline, targetAt, upstream }: RoutedRequest,
    endpoint: EndpointStats,
  ): Promise<OutcomeError | undefined> {
    const startedAt = this.clock.now();
    const station = this.world.stationOf(endpoint.member.instance);
    endpoint.inFlight += 1;
    endpoint.recordSent(startedAt);
    try {
      await this.#reach(station);
      const { priority, name } = kind;
      const onGone = () => {};
      const ticket = { priority, kind: name, targetAt, deadline, limit: undefined, onGone };
      const isWell = await station.guard(kind, ticket);
      const tookMs = this.clock.now() - startedAt;
      this.#balancer.recordAnswer(endpoint, tookMs, station.load, !isWell);
      this.#budgets.of(upstream).credit(RETRY_PERCENT);
      this.#weights.record(name, kind.answerBytes);
      this.world.carried(this, station, kind.answerBytes);
      if (!isWell) throw new OutcomeError('failed', { verdict: 'ran', reason: 'failed' });
      return undefined;
    } catch (error) {
      const outcome = asOutcome(error);
      if (outcome.verdict === 'ran') throw outcome;
      const isHeard = outcome.reason !== 'unreachable';
      this.#balancer.recordRefusal(endpoint, outcome, isHeard ? station.load : undefined);
      return outcome;
    } finally {
      endpoint.inFlight -= 1;
    }
  }

  async #reach(station: Station): Promise<void> {
    const { weather } = this.world;
    const now = this.clock.now();
    const isNear = station.dataCentre === this.dataCentre;
    const isReached =
      !weather.isCut(this.dataCentre, station.dataCentre, now) && !weather.isHerdAway(now);
    const wayMs = isNear ? NEAR_MS : FAR_MS;
    await this.clock.sleepUntil(now + (isReached ? wayMs : CONNECT_MS));
    if (!isReached) throw notRun('unreachable', 'no connection in time');
    if (weather.isGone(station.upstream, station.index, now)) {
      throw notRun('no-endpoint', 'nobody is there');
    }
  }

  /** What the instance does with it. */
  async #work(kind: Kind, deadline: number): Promise<boolean> {
    const { weather } = this.world;
    const now = this.clock.now();
    if (this.random.next() < weather.refusing(this.upstream, this.index, now)) {
      throw notRun('shed', 'the upstream instance had no room');
    }
    const slowness = weather.slowness(this.upstream, this.index, now) / this.speed;
    const varied = 1 + kind.spread * (2 * this.random.next() - 1);
    const endAt = now + kind.workMs * varied * slowness;
    await this.clock.sleepUntil(Math.min(endAt, deadline));
    if (endAt > deadline) throw tooLate();
    const { call } = kind;
    if (!call || this.random.next() >= call.share) return true;
    return this.#call(this.world.kindOf(call.kind), deadline);
  }

  async #call(kind: Kind, deadline: number): Promise<boolean> {
    const givesUpAt = Math.min(deadline, this.clock.now() + kind.waitMs);
    return this.ask(kind, { asks: this.random.nonce(), givesUpAt }).then(
      () => true,
      () => false,
    );
  }

  /** As much of a journey as the decisions look at. */
  #journey(kind: Kind, deadline: number, targetAt: number): RoutedRequest {
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
      awayMs: this.#weights.awayMs(name),
      deadline,
      targetAt,
      isRepeatable,
      retryPercent: RETRY_PERCENT,
      trace: { note: () => {} },
      isRetriedElsewhere: false,
    } as unknown as RoutedRequest;
  }
}

function tooLate(): OutcomeError {
  return new OutcomeError('no time', { verdict: 'may-have-run', reason: 'deadline' });
}
