/**
 * The events generated for one item, across all attempts.
 *
 * Events are accepted only in the order of their numbers, so that none is duplicated or lost when a stream is resumed
 * at another endpoint. Versions are taken from the streams, never from weight orders.
 */

import * as z from 'zod';

export const generatedEventSchema = z
  .strictObject({
    /** The number of the event, from 1. */
    number: z.number().int().min(1),
    text: z.string(),
    /** The weight version that generated it. */
    version: z.number().int(),
  })
  .readonly();
export type GeneratedEvent = z.infer<typeof generatedEventSchema>;

/**
 * `repeated`: the event was added before. `gap`: an event is missing. `restart`: the text was discarded because of the
 * event's version; the attempt must end and the item starts over.
 */
export type EventEffect = 'added' | 'repeated' | 'gap' | 'restart';

export interface VersionRequirement {
  readonly minVersion: number;
  readonly isSingleVersion: boolean;
}

export class ItemProgress {
  private readonly _requirement: VersionRequirement;
  private _events: GeneratedEvent[] = [];
  private _textNumber = 0;

  constructor(requirement: VersionRequirement) {
    this._requirement = requirement;
  }

  /** The number of the last complete event; 0 for none. */
  lastEventNumber(): number {
    return this._events.length;
  }

  /** Incremented whenever the text is discarded. Texts with different numbers share no events. */
  textNumber(): number {
    return this._textNumber;
  }

  text(): string {
    return this._events.map(event => event.text).join('\n');
  }

  events(): readonly GeneratedEvent[] {
    return this._events;
  }

  /** The weight versions of the text, in the order of their first use. */
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

  mayContinueWith(version: number): boolean {
    return this._events.length === 0 || this._allows(version);
  }

  clear(): void {
    this._events = [];
    this._textNumber += 1;
  }

  private _allows(version: number): boolean {
    if (version < this._requirement.minVersion) return false;
    if (!this._requirement.isSingleVersion) return true;
    return this._events.every(previous => previous.version === version);
  }
}
