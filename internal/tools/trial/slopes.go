package trial

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Slope is a quantity measured at several sizes, with the straight line fitted to the values.
type Slope struct {
	// Name is the quantity, Unit is the unit of its values and Per is what the sizes count.
	Name string `json:"name"`
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Values are the values measured at Sizes.
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	// Slope is in Unit per item counted by Per, Intercept is the value at size 0, in Unit, and RSquared
	// is the coefficient of determination of the fit, 0 to 1.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
	RSquared  float64 `json:"straight"`
}

// withFit returns s with the line fitted by least squares.
func (s Slope) withFit() Slope {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	if d := (n*sxx - sx*sx) * (n*syy - sy*sy); d > 0 {
		s.RSquared = math.Pow(n*sxy-sx*sy, 2) / d
	}
	return s
}

// SlopeReport holds the measured slopes and the resource budget at the target size. Budget is empty
// if only some slopes were measured.
type SlopeReport struct {
	Slopes []Slope      `json:"slopes"`
	Budget []BudgetLine `json:"budget"`
}

// measurement describes how a quantity is measured. The fields name, unit, per and sizes are as in Slope.
type measurement struct {
	name, unit, per string
	sizes           []float64
	measure         func(ctx context.Context, size int) (float64, error)
}

// MeasureSlopes measures the slopes whose name starts with prefix and passes each one to report as
// soon as it is measured. It computes the budget only if prefix is empty, since that needs all slopes.
// On error, it returns the slopes measured so far.
func MeasureSlopes(ctx context.Context, prefix string, report func(Slope)) (SlopeReport, error) {
	var rep SlopeReport
	for _, m := range measurements() {
		if !strings.HasPrefix(m.name, prefix) {
			continue
		}
		s := Slope{Name: m.name, Unit: m.unit, Per: m.per, Sizes: m.sizes}
		for _, size := range m.sizes {
			v, err := m.measure(ctx, int(size))
			if err != nil {
				return rep, fmt.Errorf("%s at %v: %w", m.name, size, err)
			}
			s.Values = append(s.Values, v)
		}
		s = s.withFit()
		report(s)
		rep.Slopes = append(rep.Slopes, s)
	}
	if prefix == "" {
		rep.Budget = computeBudget(rep.Slopes)
	}
	return rep, nil
}

// PrintSlopes writes tab-separated tables of the slopes and, if there is one, of the budget.
func PrintSlopes(w io.Writer, rep SlopeReport) {
	fmt.Fprintln(w, "QUANTITY\tUNIT\tSIZES\tVALUES\tSLOPE\tBASE\tSTRAIGHT")
	for _, s := range rep.Slopes {
		fmt.Fprintf(w, "%s\t%s per %s\t%v\t%.4g\t%.4g\t%.4g\t%.3f\n", s.Name, s.Unit, s.Per, s.Sizes, s.Values, s.Slope, s.Intercept, s.RSquared)
	}
	if len(rep.Budget) == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "ROLE\tQUANTITY\tFORMULA\tVALUE\tLIMIT\tFITS")
	for _, b := range rep.Budget {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g %s\t%s\t%v\n", b.Role, b.Quantity, b.Formula, b.Value, b.Unit, b.formatLimit(), b.Fits())
	}
}

// heapBytes returns the size of heap and stack in use after garbage collection, in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the CPU time used by this process, user and system, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sampleDuration is how long rates and CPU use are sampled.
const sampleDuration = 2 * time.Second

// cpuPercent returns the CPU use of this process over sampleDuration, in percent of one core.
func cpuPercent(ctx context.Context) float64 {
	before, start := cpuTime(), time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(sampleDuration):
	}
	return 100 * float64(cpuTime()-before) / float64(time.Since(start))
}
