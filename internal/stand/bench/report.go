package bench

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	pageColumns = 2
	cellWidth   = 16 * vg.Centimeter
	cellHeight  = 8 * vg.Centimeter
)

// Report reads bench.json from a folder and writes report.png there, which plots the p99 of every policy
// over time, with one panel per condition.
func Report(folder string) error {
	text, err := os.ReadFile(filepath.Join(folder, "bench.json"))
	if err != nil {
		return eris.Wrap(err, "reading the results (run make bench first)")
	}
	var rows []Row
	if err := json.Unmarshal(text, &rows); err != nil {
		return eris.Wrap(err, "decoding the results")
	}
	panels, err := drawPanels(rows)
	if err != nil {
		return err
	}
	return writePage(filepath.Join(folder, "report.png"), panels)
}

// drawPanels draws one panel for each condition, in the order of the rows.
func drawPanels(rows []Row) ([]*plot.Plot, error) {
	var panels []*plot.Plot
	for start := 0; start < len(rows); {
		end := start
		for end < len(rows) && rows[end].Condition == rows[start].Condition {
			end++
		}
		panel, err := drawPanel(rows[start:end])
		if err != nil {
			return nil, err
		}
		panels = append(panels, panel)
		start = end
	}
	return panels, nil
}

func drawPanel(rows []Row) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = rows[0].Condition
	p.X.Label.Text = "time [s]; faults and load jumps occur after a third of the run"
	p.Y.Label.Text = "p99 latency in windows of 100 ms [ms]"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	for i := range rows {
		line, err := plotter.NewLine(seriesPoints(&rows[i]))
		if err != nil {
			return nil, eris.Wrap(err, "plotting the latencies")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(rows[i].Policy, line)
	}
	ideal := plotter.NewFunction(func(float64) float64 { return rows[0].IdealP99 })
	ideal.Dashes = plotutil.Dashes(1)
	p.Add(ideal)
	p.Legend.Add("ideal central queue, p99 of the whole run", ideal)
	return p, nil
}

// seriesPoints returns the points of Row.Series. Values below 1 ms are raised to 1 ms, because the axis is
// logarithmic and a window without answers has the value 0.
func seriesPoints(r *Row) plotter.XYs {
	xys := make(plotter.XYs, 0, len(r.Series))
	for i, y := range r.Series {
		xys = append(xys, plotter.XY{X: float64(i) * seriesWindow.Seconds(), Y: max(y, 1)})
	}
	return xys
}

func writePage(path string, panels []*plot.Plot) error {
	rowCount := (len(panels) + pageColumns - 1) / pageColumns
	canvas := vgimg.New(pageColumns*cellWidth, vg.Length(rowCount)*cellHeight)
	tiles := draw.Tiles{Rows: rowCount, Cols: pageColumns}
	page := draw.New(canvas)
	for i, panel := range panels {
		panel.Draw(tiles.At(page, i%pageColumns, i/pageColumns))
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "creating the report")
	}
	defer func() { _ = file.Close() }()
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	return eris.Wrap(err, "writing the report")
}
