/**
 * What a start of an entry process loads.
 */
import { spawnSync } from 'node:child_process';
import tap from 'tap';

/** A file of a bundle: what it was made of, and the files that are loaded together with it. */
interface BundleFile {
  readonly bytes: number;
  readonly inputs: Readonly<Record<string, unknown>>;
  readonly imports: readonly { readonly path: string; readonly kind: string }[];
}

const BUNDLE = `
  import { build } from 'esbuild';
  import { TARGET_BUILD } from './utils/bundleOptions.mjs';
  const { metafile } = await build({ ...TARGET_BUILD, write: false, metafile: true });
  process.stdout.write(JSON.stringify(metafile.outputs));
`;
/** Half of what one file with everything had, where compiling it took a quarter of a start. */
const MOST_BYTES = 1_600_000;

function bundle(): Readonly<Record<string, BundleFile>> {
  const args = ['--input-type=module', '--eval', BUNDLE];
  const { stdout } = spawnSync(process.execPath, args, { encoding: 'utf8', maxBuffer: 1 << 28 });
  return JSON.parse(stdout) as Readonly<Record<string, BundleFile>>;
}

/** The files that a start loads: all that the program imports but on demand. */
function loadedWith(files: Readonly<Record<string, BundleFile>>, program: string): readonly BundleFile[] {
  const seen = new Set([program]);
  for (const name of seen)
    for (const { path, kind } of files[name]?.imports ?? [])
      if (kind === 'import-statement' && files[path]) seen.add(path);
  return [...seen].map(name => files[name]).filter(file => file !== undefined);
}

await tap.test('should not load at each start what few starts use', t => {
  // Symptom: a fleet that restarts is slow for seconds, and days of many hosts run out of processor time. Sequence: all hosts
  // lose power and start again. Cause: each start compiles and sets up the application that serves metrics, the library for
  // spans and the reader of rule files.
  const files = bundle();
  const loaded = loadedWith(files, 'target/fuchsiahitch-edge.mjs');
  const inputs = loaded.flatMap(file => Object.keys(file.inputs));
  t.ok(inputs.length > 0);
  for (const seldom of ['@nestjs', 'fastify', 'rxjs', '@opentelemetry/sdk-trace-base', 'yaml'])
    t.same(
      inputs.filter(input => input.includes(`node_modules/${seldom}`) || input.includes(`${seldom}/dist`)),
      [],
      seldom,
    );
  const bytes = loaded.reduce((sum, file) => sum + file.bytes, 0);
  t.ok(bytes < MOST_BYTES, `${bytes} bytes`);
  t.end();
});
