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
      // Node's ESM loader needs explicit .js import paths.
      'import-x/extensions': ['error', 'ignorePackages', { ts: 'never', js: 'always' }],
      // Modules use named exports only.
      'import-x/prefer-default-export': 'off',
      // Tasks such as the one of a connection run sequentially and await in loops.
      'no-await-in-loop': 'off',
      // These are the executables of the package.
      'n/hashbang': [
        'error',
        { additionalExecutables: ['src/barleyhaven.ts', 'src/barleyhavend.ts'] },
      ],
      // Replaces the preset's ban on loops. A class must not instantiate itself in a static field:
      // compilers that alias the class name there make the program fail at start.
      'no-restricted-syntax': [
        'error',
        {
          selector: 'PropertyDefinition[static=true] > NewExpression',
          message: 'Put the value below the class and read it by a static getter.',
        },
      ],
      // The loop of a task ends by its abort signal or by `return`.
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-continue': 'off',
      // Trivial methods of subclasses and stand-ins need no `this`.
      'class-methods-use-this': 'off',
      // A promise that nobody awaits ends the process when it is rejected: `runInBackground` takes it.
      'no-void': 'error',
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }],
      '@typescript-eslint/no-misused-promises': ['error', { checksConditionals: false }],
      // State objects, such as a peer, are updated through parameters.
      'no-param-reassign': ['error', { props: false }],
      // Counters are incremented on the hot path.
      'no-plusplus': 'off',
      'no-bitwise': 'off',
      // Small helper classes stay beside the code that uses them.
      'max-classes-per-file': 'off',
      // Types are hoisted; helper functions follow the function that uses them.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': 'off',
      // A schema and the type inferred from it share one name.
      '@typescript-eslint/no-redeclare': 'off',
    },
  },
  {
    // A start that fails, and a rehearsal in the build, have to end their process.
    files: ['src/platform/start.ts', 'src/platform/rehearse.ts'],
    rules: { 'no-void': 'off', '@typescript-eslint/no-floating-promises': 'off' },
  },
  {
    // Not part of the product; there `void` marks a promise that is deliberately not awaited.
    files: [
      'src/test/**',
      'src/bench/**',
      'src/soak/**',
      'src/standins/**',
      'src/tool/**',
      'deploy/**',
      'review/**',
      '*.js',
    ],
    rules: {
      'no-void': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
      '@typescript-eslint/no-misused-promises': 'off',
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
    files: ['src/bench/**', 'src/soak/**', 'deploy/**'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      // Benchmarks and the build print to the console.
      'no-console': 'off',
    },
  },
];
