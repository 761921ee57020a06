/**
 * What has been generated of one item so far, across all attempts at it.
 *
 * What goes wrong without it: a stream breaks and is taken up elsewhere, and events are doubled, lost or
 * carry the wrong version. An event counts once it is whole, in the order of its number; the next attempt
 * goes on after the last whole one; versions come from the streams alone, never from what was ordered.
 */

/** One whole event of a stream. */
export interface GeneratedEvent {
  /** Number of the event, from 1. */
  readonly number: number;
  readonly text: string;
  /** The weight version that generated it. */
  readonly version: number;
}

/** What an event did. `restart`: the attempt must end, and the item begins anew. */
export type EventEffect = 'added' | 'repeated' | 'gap' | 'restart';

export interface VersionDemand {
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
}

export class ItemProgress {
  private readonly _demand: VersionDemand;
  private _texts: string[] = [];
  private _versions: number[] = [];

  constructor(demand: VersionDemand) {
    this._demand = demand;
  }

  /** The number of the last whole event; 0 for none. */
  lastEvent(): number {
    return this._texts.length;
  }

  text(): string {
    return this._texts.join('\n');
  }

  versions(): readonly number[] {
    return this._versions;
  }

  add(event: GeneratedEvent): EventEffect {
    if (event.number <= this._texts.length) return 'repeated';
    if (event.number !== this._texts.length + 1) return 'gap';
    if (!this._allows(event.version)) {
      this.clear();
      return 'restart';
    }
    this._texts.push(event.text);
    if (!this._versions.includes(event.version)) this._versions.push(event.version);
    return 'added';
  }

  /** True if a text that goes on under the version is what the batch asked for. */
  mayContinueWith(version: number): boolean {
    return this._texts.length === 0 || this._allows(version);
  }

  /** Forgets the text: it cannot be part of an allowed result any more. */
  clear(): void {
    this._texts = [];
    this._versions = [];
  }

  private _allows(version: number): boolean {
    if (version < this._demand.minVersion) return false;
    if (!this._demand.isSingleVersion) return true;
    return this._versions.every(known => known === version);
  }
}
