import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: { include: ['tests/binary/**/*.test.ts'], testTimeout: 120_000 },
});
