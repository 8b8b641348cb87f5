/** Rows of text in aligned columns, two blanks apart, a line each. */
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
 * Text from refused notes is shown as it was handed in. Control characters in it could make a
 * terminal show other lines than the trail holds, so each is replaced by a visible mark.
 */
export function printable(text: string): string {
  return text.replace(/\p{Cc}/gu, '�');
}
