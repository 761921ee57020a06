/**
 * Keeps the platform's protocol within the platform adapter.
 */
import fs from 'node:fs';
import path from 'node:path';
import tap from 'tap';

/** Names that are specific to the platform's protocol. */
const WIRE_NAMES =
  /prompt-prefix|server-stamp|kv-(txn|watch|range|key|lease|keep)|expect-instance|not-executed|deadline-ms|queue_ttl_s|target_latency_ms|group_count|min_version|\/v1\/(lots|items|order|report|readyz)|op\/config|op\/version|weight-versions/i;

function sources(folder: string): readonly string[] {
  return fs
    .readdirSync(folder, { recursive: true })
    .map(String)
    .filter(name => name.endsWith('.ts') && !name.includes('node_modules') && !name.includes('dist'))
    .map(name => path.join(folder, name));
}

await tap.test('should use the platform’s wire names in platform/ only', t => {
  const offenders = sources('packages').filter(file => WIRE_NAMES.test(fs.readFileSync(file, 'utf8')));
  t.same(offenders, []);
  t.ok(sources('platform/src').some(file => WIRE_NAMES.test(fs.readFileSync(file, 'utf8'))));
  t.end();
});

await tap.test('should keep the platform adapter small', t => {
  const countLines = (folder: string): number =>
    sources(folder).reduce((sum, file) => sum + fs.readFileSync(file, 'utf8').split('\n').length - 1, 0);
  t.ok(countLines('platform/src') < 1700, 'the adapter only translates');
  t.end();
});
