/** Chooses the team of each simulated caller by the weights of a pattern. */
import { type Random } from '../../runtime/random.js';
import { type PatternTeam } from './pattern.js';

export class TeamMix {
  constructor(
    private readonly teams: readonly PatternTeam[],
    private readonly random: Random,
  ) {}

  /** Undefined for a kind that no team requests. */
  draw(kind: string): string | undefined {
    const asking = this.teams.filter(({ kinds }) => kinds?.includes(kind) ?? true);
    if (asking.length === 0) return undefined;
    let left = this.random.next() * asking.reduce((sum, { weight }) => sum + weight, 0);
    for (const { name, weight } of asking) {
      left -= weight;
      if (left < 0) return name;
    }
    return asking.at(-1)!.name;
  }
}
