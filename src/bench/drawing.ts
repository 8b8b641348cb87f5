/** Draws kept results next to earlier ones: one SVG per experiment. */
import { readdir, readFile, writeFile } from 'node:fs/promises';
import * as echarts from 'echarts';

/** Figures worth drawing, by experiment; ours beside the baseline's where there is one. */
const DRAWN: Readonly<Record<string, readonly string[]>> = {
  convergence: ['p50Ms', 'p99Ms', 'baselineP50Ms', 'baselineP99Ms'],
  'control-bytes': ['idleBytesPerSecondPerProcess', 'bytesPerChange', 'baselineBytesPerChange'],
  herd: [
    'recoveredMs',
    'baselineRecoveredMs',
    'peakSourceCallsPerSecond',
    'baselinePeakSourceCallsPerSecond',
  ],
  'added-latency': ['directP99Ms', 'throughP99Ms', 'addedP99Ms'],
  cold: ['bareNodeMs', 'readyMs', 'settledMs', 'idleMsPerSecond', 'versionMs', 'first300MsEach'],
  rollout: [
    'soundMedianS',
    'errorsMedianS',
    'slowMedianS',
    'lateMedianS',
    'under-loadMedianS',
    'one-routeMedianS',
  ],
  overload: ['goodput', 'baselineGoodput', 'capacity'],
};
const WIDTH = 900;
const HEIGHT = 420;

interface Kept {
  readonly name: string;
  readonly experiment: string;
  readonly figures: Readonly<Record<string, unknown>>;
}

/** Writes the drawings beside the results; resolves to their file names. */
export async function drawReport(folder: URL): Promise<string[]> {
  const kept = await readKept(folder);
  const drawings: string[] = [];
  for (const [experiment, keys] of Object.entries(DRAWN)) {
    const results = kept.filter((one) => one.experiment === experiment);
    if (results.length === 0) continue;
    const file = `report-${experiment}.svg`;
    await writeFile(new URL(file, folder), draw(experiment, keys, results));
    drawings.push(file);
  }
  return drawings;
}

async function readKept(folder: URL): Promise<Kept[]> {
  const files = (await readdir(folder)).filter((file) => file.endsWith('.json')).sort();
  return Promise.all(
    files.map(async (file) => {
      const figures = JSON.parse(await readFile(new URL(file, folder), 'utf8')) as Kept['figures'];
      return { name: file.replace('.json', ''), experiment: String(figures.experiment), figures };
    }),
  );
}

function draw(experiment: string, keys: readonly string[], results: readonly Kept[]): string {
  const size = { width: WIDTH, height: HEIGHT };
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, ...size });
  chart.setOption({
    animation: false,
    title: { text: experiment },
    legend: { top: 30 },
    grid: { top: 80, left: 80, right: 30, bottom: 60 },
    xAxis: { type: 'category', data: results.map(({ name }) => name) },
    // Figures of one experiment can lie orders of magnitude apart.
    yAxis: { type: 'log', min: 0.1 },
    series: keys.map((key) => ({
      name: key,
      type: 'bar',
      label: { show: true, position: 'top', fontSize: 10 },
      data: results.map(({ figures }) => Number(figures[key])),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
