// Reads logs of entry hosts and prints the steps that were late or incomplete, with the causes of their items' delays.
// Usage: node utils/lostSteps.mjs [--due-ms N] [--all] FILE...
// Log lines may have a prefix before their JSON object.
import fs from 'node:fs';
import { parseArgs } from 'node:util';

/** Default of --due-ms, the time after which a step counts as late. */
const DEFAULT_DUE_MS = 7500;

const { values: flags, positionals: files } = parseArgs({
  allowPositionals: true,
  options: {
    'due-ms': { type: 'string', default: String(DEFAULT_DUE_MS) },
    all: { type: 'boolean', default: false },
  },
});
if (files.length === 0) {
  console.error('usage: node utils/lostSteps.mjs [--due-ms N] [--all] FILE...');
  process.exit(2);
}
const dueMs = Number(flags['due-ms']);

const batches = new Map();

function batchOf(id) {
  const existing = batches.get(id);
  if (existing) return existing;
  const batch = { id, items: new Map(), listed: [], takeovers: 0 };
  batches.set(id, batch);
  return batch;
}

function itemOf(batch, id) {
  const existing = batch.items.get(id);
  if (existing) return existing;
  const item = { id, attempts: [], scores: [], fruitless: 0 };
  batch.items.set(id, item);
  return item;
}

const READERS = {
  'batch submitted': (batch, c, atMs) => {
    if (c.outcome !== 'accepted') return;
    Object.assign(batch, { atMs, model: c.model, step: c.step, total: c.items, host: c.hostId });
  },
  'item attempt': (batch, c, atMs) => {
    const item = itemOf(batch, c.itemId);
    item.group = c.group;
    item.attempts.push({ atMs, end: c.end, tookMs: c.tookMs, endpointId: c.endpointId, paceMs: c.paceMs });
  },
  'item score': (batch, c, atMs) => {
    itemOf(batch, c.itemId).scores.push({ atMs, outcome: c.outcome, tookMs: c.tookMs });
  },
  'item makes no progress': (batch, c) => {
    itemOf(batch, c.itemId).fruitless = c.fruitless;
  },
  'results listed': (batch, c, atMs) => {
    batch.listed.push({ atMs, results: c.results });
  },
  'batch takeover': (batch, c, atMs) => {
    if (c.outcome !== 'done') return;
    batch.takeovers += 1;
    batch.takenMs = atMs;
  },
  'batch stopped': (batch, c, atMs) => {
    if (c.reason === 'ended by the trainer') batch.endedMs = atMs;
  },
};

function read(file) {
  for (const line of fs.readFileSync(file, 'utf8').split('\n')) {
    const start = line.indexOf('{"context"');
    if (start < 0) continue;
    let entry;
    try {
      entry = JSON.parse(line.slice(start));
    } catch {
      continue; // The line is truncated.
    }
    const reader = READERS[entry.message];
    if (reader && entry.context.batchId) reader(batchOf(entry.context.batchId), entry.context, entry.time);
  }
}

/** Returns the milliseconds that an item spent in each state since its batch was accepted. */
function timesOf(batch, item) {
  const times = { queued: 0, ran: 0, silent: 0, broken: 0, refused: 0, moved: 0, outdated: 0, scoring: 0 };
  const kinds = {
    done: 'ran',
    cancelled: 'moved',
    stalled: 'silent',
    broken: 'broken',
    'not-run': 'refused',
    'old-version': 'outdated',
  };
  let queuedSinceMs = batch.atMs;
  for (const { atMs, end, tookMs } of item.attempts) {
    times.queued += Math.max(0, atMs - tookMs - queuedSinceMs);
    times[kinds[end] ?? 'broken'] += tookMs;
    queuedSinceMs = atMs;
  }
  for (const { tookMs } of item.scores) times.scoring += tookMs;
  return times;
}

function lateItems(batch) {
  const limitMs = batch.atMs + dueMs;
  return [...batch.items.values()].filter(item => {
    const last = item.attempts.at(-1);
    return !last || last.end !== 'done' || last.atMs > limitMs || item.fruitless > 0;
  });
}

function describe(batch) {
  const total = { queued: 0, ran: 0, silent: 0, broken: 0, refused: 0, moved: 0, outdated: 0, scoring: 0 };
  const late = lateItems(batch);
  for (const item of late) for (const [kind, ms] of Object.entries(timesOf(batch, item))) total[kind] += ms;
  const parts = Object.entries(total)
    .filter(([, ms]) => ms > 0)
    .sort((a, b) => b[1] - a[1])
    .map(([kind, ms]) => `${kind} ${(ms / 1000).toFixed(1)}`);
  const fruitless = Math.max(0, ...late.map(item => item.fruitless));
  const notes = [];
  if (batch.takeovers > 0)
    notes.push(
      `owner changed ${batch.takeovers}x, last at ${((batch.takenMs - batch.atMs) / 1000).toFixed(1)} s`,
    );
  if (fruitless > 0) notes.push(`${fruitless} consecutive attempts without progress`);
  return `${late.length} items late: ${parts.join(', ')} (item seconds)${notes.map(note => `; ${note}`).join('')}`;
}

for (const file of files) read(file);

let lateCount = 0;
for (const batch of [...batches.values()].filter(({ atMs }) => atMs !== undefined)) {
  const listed = batch.listed.reduce((sum, { results }) => sum + results, 0);
  const lastMs = batch.listed.at(-1)?.atMs ?? batch.atMs;
  const tookMs = (batch.endedMs ?? lastMs) - batch.atMs;
  const isLate = tookMs > dueMs || batch.endedMs === undefined;
  if (isLate) lateCount += 1;
  if (!isLate && !flags.all) continue;
  const name = `${batch.model || '-'} step ${batch.step ?? '-'}`;
  console.log(
    `${name}, batch ${batch.id} at ${batch.host}: ${listed} of ${batch.total} listed, ${(tookMs / 1000).toFixed(1)} s; ${describe(batch)}`,
  );
}
console.log(`${lateCount} of ${batches.size} batches later than ${dueMs} ms or not ended`);
