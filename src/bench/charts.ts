/** Renders saved results as bar charts: one SVG per experiment, one group of bars per result. */
import { readdir, readFile, writeFile } from 'node:fs/promises';
import * as echarts from 'echarts';

/** Result keys to chart, by experiment; with those of the baseline where there is one. */
const CHARTED_FIGURES: Readonly<Record<string, readonly string[]>> = {
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

interface SavedResult {
  readonly name: string;
  readonly experiment: string;
  readonly figures: Readonly<Record<string, unknown>>;
}

/** Writes the charts into the folder of the results; resolves to their file names. */
export async function drawCharts(folder: URL): Promise<string[]> {
  const savedResults = await readSavedResults(folder);
  const drawings: string[] = [];
  for (const [experiment, keys] of Object.entries(CHARTED_FIGURES)) {
    const results = savedResults.filter((one) => one.experiment === experiment);
    if (results.length === 0) continue;
    const file = `report-${experiment}.svg`;
    await writeFile(new URL(file, folder), renderChart(experiment, keys, results));
    drawings.push(file);
  }
  return drawings;
}

async function readSavedResults(folder: URL): Promise<SavedResult[]> {
  const files = (await readdir(folder)).filter((file) => file.endsWith('.json')).sort();
  return Promise.all(
    files.map(async (file) => {
      const figures = JSON.parse(
        await readFile(new URL(file, folder), 'utf8'),
      ) as SavedResult['figures'];
      return { name: file.replace('.json', ''), experiment: String(figures.experiment), figures };
    }),
  );
}

function renderChart(
  experiment: string,
  keys: readonly string[],
  results: readonly SavedResult[],
): string {
  const size = { width: WIDTH, height: HEIGHT };
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, ...size });
  chart.setOption({
    animation: false,
    title: { text: experiment },
    legend: { top: 30 },
    grid: { top: 80, left: 80, right: 30, bottom: 60 },
    xAxis: { type: 'category', data: results.map(({ name }) => name) },
    // Values of one experiment can differ by orders of magnitude.
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
