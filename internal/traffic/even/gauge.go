package even

// Imbalance tells how evenly the load is spread over instances that may serve the same requests.
type Imbalance struct {
	// Ratio is the largest load per slot divided by the mean one; 1 if there is no load.
	Ratio float64
	// Largest is the index of the option with the largest load per slot.
	Largest int
	// WaitsBesideFree is set if one instance has work waiting while another has a free slot.
	WaitsBesideFree bool
}

// Measure returns the imbalance of the options whose load is known, as their lenders reported it. It
// returns false unless that of two is.
func Measure(options []Option) (Imbalance, bool) {
	m := Imbalance{Ratio: 1}
	known, sum, largest := 0, 0.0, 0.0
	waits, free := false, false
	for i, o := range options {
		if !o.News.Known {
			continue
		}
		slots := float64(max(1, o.Slots))
		perSlot := o.News.Load / slots
		known++
		sum += perSlot
		if perSlot > largest {
			m.Largest, largest = i, perSlot
		}
		waits = waits || o.News.Load > slots
		free = free || o.News.Load < slots
	}
	if sum > 0 {
		m.Ratio = largest * float64(known) / sum
	}
	m.WaitsBesideFree = waits && free
	return m, known > 1
}
