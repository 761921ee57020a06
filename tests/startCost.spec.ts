/**
 * Limits what an edge process loads at startup.
 */
import { spawnSync } from 'node:child_process';
import tap from 'tap';

/** An output file in the bundler's metafile. */
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
/** About half the size of a bundle without lazy loading. */
const MAX_LOADED_BYTES = 1_600_000;

function bundle(): Readonly<Record<string, BundleFile>> {
  const args = ['--input-type=module', '--eval', BUNDLE];
  const { stdout } = spawnSync(process.execPath, args, { encoding: 'utf8', maxBuffer: 1 << 28 });
  return JSON.parse(stdout) as Readonly<Record<string, BundleFile>>;
}

/** Returns the files that are loaded at startup: static imports, but no dynamic ones. */
function loadedAtStart(files: Readonly<Record<string, BundleFile>>, program: string): readonly BundleFile[] {
  const seen = new Set([program]);
  for (const name of seen)
    for (const { path, kind } of files[name]?.imports ?? [])
      if (kind === 'import-statement' && files[path]) seen.add(path);
  return [...seen].map(name => files[name]).filter(file => file !== undefined);
}

await tap.test('should not load rarely used libraries at startup', t => {
  // Guards against slow restarts of a fleet: each start would compile libraries that few processes use.
  const files = bundle();
  const loaded = loadedAtStart(files, 'target/fuchsiahitch-edge.mjs');
  const inputs = loaded.flatMap(file => Object.keys(file.inputs));
  t.ok(inputs.length > 0);
  for (const rarelyUsed of ['@nestjs', 'fastify', 'rxjs', '@opentelemetry/sdk-trace-base', 'yaml'])
    t.same(
      inputs.filter(
        input => input.includes(`node_modules/${rarelyUsed}`) || input.includes(`${rarelyUsed}/dist`),
      ),
      [],
      rarelyUsed,
    );
  const bytes = loaded.reduce((sum, file) => sum + file.bytes, 0);
  t.ok(bytes < MAX_LOADED_BYTES, `${bytes} bytes`);
  t.end();
});
