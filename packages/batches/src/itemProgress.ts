/**
 * What has been generated of one item so far, across all attempts at it.
 *
 * What goes wrong without it: a stream breaks and is taken up elsewhere, and events are doubled, lost or
 * carry the wrong version. An event counts once it is whole, in the order of its number; the next attempt
 * goes on after the last whole one; versions come from the streams alone, never from what was ordered.
 */

import * as z from 'zod';

/** One whole event of a stream. */
export const generatedEventSchema = z
  .strictObject({
    /** Number of the event, from 1. */
    number: z.number().int().min(1),
    text: z.string(),
    /** The weight version that generated it. */
    version: z.number().int(),
  })
  .readonly();
export type GeneratedEvent = z.infer<typeof generatedEventSchema>;

/** What an event did. `restart`: the attempt must end, and the item begins anew. */
export type EventEffect = 'added' | 'repeated' | 'gap' | 'restart';

export interface VersionRequirement {
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
}

export class ItemProgress {
  private readonly _requirement: VersionRequirement;
  private _events: GeneratedEvent[] = [];
  private _textNumber = 0;

  constructor(demand: VersionRequirement) {
    this._requirement = demand;
  }

  /** The number of the last whole event; 0 for none. */
  lastEventNumber(): number {
    return this._events.length;
  }

  /** Counts the texts that were begun: a new one shares no event with the one before. */
  textNumber(): number {
    return this._textNumber;
  }

  text(): string {
    return this._events.map(event => event.text).join('\n');
  }

  /** The whole events, in order. */
  events(): readonly GeneratedEvent[] {
    return this._events;
  }

  /** Every version of the text, in the order of their use. */
  versions(): readonly number[] {
    return [...new Set(this._events.map(event => event.version))];
  }

  add(event: GeneratedEvent): EventEffect {
    if (event.number <= this._events.length) return 'repeated';
    if (event.number !== this._events.length + 1) return 'gap';
    if (!this._allows(event.version)) {
      this.clear();
      return 'restart';
    }
    this._events.push(event);
    return 'added';
  }

  /** True if a text that goes on under the version is what the batch asked for. */
  mayContinueWith(version: number): boolean {
    return this._events.length === 0 || this._allows(version);
  }

  /** Forgets the text: it cannot be part of an allowed result any more. */
  clear(): void {
    this._events = [];
    this._textNumber += 1;
  }

  private _allows(version: number): boolean {
    if (version < this._requirement.minVersion) return false;
    if (!this._requirement.isSingleVersion) return true;
    return this._events.every(known => known.version === version);
  }
}
