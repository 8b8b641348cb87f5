/** Formats rows as lines with aligned columns, separated by two spaces. */
export function table(rows: readonly (readonly string[])[]): string[] {
  const printed = rows.map((row) => row.map(printable));
  const widths: number[] = [];
  for (const row of printed) {
    row.forEach((cell, index) => {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    });
  }
  return printed.map((row) => {
    const cells = row.map((cell, index) => cell.padEnd(widths[index] ?? 0));
    return cells.join('  ').trimEnd();
  });
}

/**
 * Replaces each control character by U+FFFD. Text of refused notes is shown as submitted, and
 * control characters in it could make a terminal show lines that are not in the audit trail.
 */
export function printable(text: string): string {
  return text.replace(/\p{Cc}/gu, '�');
}
