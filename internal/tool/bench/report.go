package bench

import (
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
	// cpuTicksField is the index of the user time in /proc/PID/stat; the system time
	// follows it. Both are in ticks.
	cpuTicksField = 13
	// rssField is the label of the resident set size in /proc/PID/status.
	rssField = "VmRSS:"
)

type (
	// Usage is the processor time and memory usage of a process.
	Usage struct {
		// CPUSeconds is the processor time in seconds.
		CPUSeconds float64
		// ResidentBytes is the resident memory in bytes.
		ResidentBytes int
	}
)

// Plot draws a bar chart of the time to first token by band. The extension of the file
// selects the format: svg, png or pdf.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Time to first token, workload " + r.Workload
	p.Y.Label.Text = "milliseconds"
	var names []string
	var median, high plotter.Values
	for _, row := range r.Rows {
		names = append(names, row.Band)
		median = append(median, row.FirstTokenP50)
		high = append(high, row.FirstTokenP95)
	}
	for i, values := range []plotter.Values{median, high} {
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth) * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add([]string{"p50", "p95"}[i], bars)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}

// ReadUsage reads the usage of a process on this machine from /proc.
func ReadUsage(pid int) (Usage, error) {
	folder := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process")
	}
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process")
	}
	fields := strings.Fields(string(stat))
	usage := Usage{}
	for _, field := range fields[cpuTicksField : cpuTicksField+2] {
		ticks, _ := strconv.ParseFloat(field, 64)
		usage.CPUSeconds += ticks / ticksPerSecond
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, rssField); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(text)[0])
			usage.ResidentBytes = kilobytes << 10
		}
	}
	return usage, nil
}
