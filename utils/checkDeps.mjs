// Checks that every package imports only what its DEPS.list allows, and declares the packages that it imports.
// Each line of a DEPS.list names one module: another package, a library, or a Node.js module.
import fs from 'node:fs';
import path from 'node:path';

const IMPORT = /(?:import|export)\s[^'";]*?from\s+'([^']+)'|import\s+'([^']+)'/g;
const SCOPE = '@fuchsiahitch/';

function sourceFiles(folder) {
  return fs
    .readdirSync(folder, { recursive: true })
    .map(String)
    .filter(name => name.endsWith('.ts'))
    .map(name => path.join(folder, name));
}

function readAllowed(folder) {
  const text = fs.readFileSync(path.join(folder, 'DEPS.list'), 'utf8');
  return new Set(
    text
      .split('\n')
      .map(line => line.replace(/#.*/, '').trim())
      .filter(Boolean),
  );
}

let problems = 0;
function report(text) {
  problems += 1;
  console.error(text);
}

const folders = [...fs.readdirSync('packages').map(name => path.join('packages', name)), 'platform'];
for (const folder of folders) {
  const allowed = readAllowed(folder);
  const used = new Set();
  for (const file of sourceFiles(path.join(folder, 'src'))) {
    const text = fs.readFileSync(file, 'utf8');
    for (const match of text.matchAll(IMPORT)) {
      const target = match[1] ?? match[2];
      if (target.startsWith('.')) continue;
      used.add(target);
      if (!allowed.has(target))
        report(`${file}: import of '${target}' is not allowed by ${folder}/DEPS.list`);
    }
  }
  for (const target of allowed) {
    if (!used.has(target)) report(`${folder}/DEPS.list: '${target}' is allowed but not used`);
  }
  const declared = Object.keys(
    JSON.parse(fs.readFileSync(path.join(folder, 'package.json'), 'utf8')).dependencies ?? {},
  );
  for (const target of [...used].filter(t => t.startsWith(SCOPE))) {
    if (!declared.includes(target))
      report(`${folder}/package.json: '${target}' is imported but not declared`);
  }
}
if (problems > 0) {
  console.error(`${problems} import problems found`);
  process.exit(1);
}
console.log('imports: every package conforms to its DEPS.list');
