import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'bench/results/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // House style: explicit .js import paths, as Node's ESM needs them.
      'import-x/extensions': ['error', 'ignorePackages', { ts: 'never', js: 'always' }],
      // One concept per file with named exports; entry files re-export by name.
      'import-x/prefer-default-export': 'off',
      // House style: one task per connection, written straight down, so it awaits in loops.
      'no-await-in-loop': 'off',
      // The programs of the package are started by name.
      'n/hashbang': [
        'error',
        { additionalExecutables: ['src/barleyhaven.ts', 'src/barleyhavend.ts'] },
      ],
      // Loops are fine. A class that makes one of its own in a static field is not: compilers that
      // alias its name there end the program as it starts.
      'no-restricted-syntax': [
        'error',
        {
          selector: 'PropertyDefinition[static=true] > NewExpression',
          message: 'Put the value below the class and read it by a static getter.',
        },
      ],
      // A task's loop ends by its signal or by return.
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-continue': 'off',
      // Abstract classes with trivial stand-in methods do not all need `this`.
      'class-methods-use-this': 'off',
      // A task that is owned elsewhere is started with `void`.
      'no-void': 'off',
      // Objects that mirror the world, such as a peer, change what they hold of another.
      'no-param-reassign': ['error', { props: false }],
      // Counters are the hot path.
      'no-plusplus': 'off',
      'no-bitwise': 'off',
      // Small error classes stand beside the one function that throws them.
      'max-classes-per-file': 'off',
      // Types are hoisted; helpers live below their one user.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      // A schema and the type inferred from it share one name.
      '@typescript-eslint/no-redeclare': 'off',
    },
  },
  {
    files: ['src/test/**', '*.js'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-unused-expressions': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: ['src/bench/**', 'deploy/**'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      // The bench prints its results.
      'no-console': 'off',
    },
  },
];
