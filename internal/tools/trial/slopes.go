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

// Slope is a quantity measured at several sizes, with the line through it.
type Slope struct {
	// Name names the quantity, Unit is its unit and Per is what the size counts.
	Name string `json:"name"`
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Sizes and Values are the points.
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	// Slope and Base are the line; Straight is its coefficient of determination.
	Slope    float64 `json:"slope"`
	Base     float64 `json:"base"`
	Straight float64 `json:"straight"`
}

// fit draws the line by least squares.
func (s Slope) fit() Slope {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy, syy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.Slope*sx) / n
	if d := (n*sxx - sx*sx) * (n*syy - sy*sy); d > 0 {
		s.Straight = math.Pow(n*sxy-sx*sy, 2) / d
	}
	return s
}

// Table is all slopes and what follows from them at the target's size.
type Table struct {
	Slopes []Slope  `json:"slopes"`
	Budget []Budget `json:"budget"`
}

// measurement measures a quantity at several sizes.
type measurement struct {
	name, unit, per string
	sizes           []float64
	at              func(ctx context.Context, size int) (float64, error)
}

// Slopes measures the slopes whose name starts with only and works out the budget, which
// needs them all. It passes each slope to seen as soon as it is measured.
func Slopes(ctx context.Context, only string, seen func(Slope)) (Table, error) {
	var t Table
	for _, m := range measurements() {
		if !strings.HasPrefix(m.name, only) {
			continue
		}
		s := Slope{Name: m.name, Unit: m.unit, Per: m.per, Sizes: m.sizes}
		for _, size := range m.sizes {
			v, err := m.at(ctx, int(size))
			if err != nil {
				return t, fmt.Errorf("%s at %v: %w", m.name, size, err)
			}
			s.Values = append(s.Values, v)
		}
		s = s.fit()
		seen(s)
		t.Slopes = append(t.Slopes, s)
	}
	if only == "" {
		t.Budget = budget(t.Slopes)
	}
	return t, nil
}

// PrintSlopes prints the points, the lines and the budget.
func PrintSlopes(w io.Writer, t Table) {
	fmt.Fprintln(w, "QUANTITY\tUNIT\tSIZES\tVALUES\tSLOPE\tBASE\tSTRAIGHT")
	for _, s := range t.Slopes {
		fmt.Fprintf(w, "%s\t%s per %s\t%v\t%.4g\t%.4g\t%.4g\t%.3f\n", s.Name, s.Unit, s.Per, s.Sizes, s.Values, s.Slope, s.Base, s.Straight)
	}
	if len(t.Budget) == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "ROLE\tQUANTITY\tFORMULA\tVALUE\tLIMIT\tFITS")
	for _, b := range t.Budget {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g %s\t%s\t%v\n", b.Role, b.Quantity, b.Formula, b.Value, b.Unit, b.limit(), b.Fits())
	}
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// span is how long a rate is measured.
const span = 2 * time.Second

// load returns the share of a core that the process uses, in percent.
func load(ctx context.Context) float64 {
	before, at := processor(), time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
	return 100 * float64(processor()-before) / float64(time.Since(at))
}
