package bounds

import "runtime/debug"

// The parts of a process's memory limit.
const (
	// heapParts of heapDivisor parts of the memory are the soft limit of the runtime. It leaves programBytes at
	// least for the program itself and what the runtime frees late, if that is not over half of the memory.
	heapDivisor, heapParts = 4, 3
	programBytes           = 40 << 20
	// budgetDivisor gives the budget for clients' data. What they hold is held up to twice for a moment, when
	// it is copied, and garbage is collected only later.
	budgetDivisor = 6
	// minBudget is enough for some of the longest messages at once.
	minBudget = 12 << 20
)

// LimitHeap sets the soft limit of the runtime for a process that may take limit bytes; 0 means no limit.
// It makes the collector work harder near the limit, but does not bound what is in use.
func LimitHeap(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(max(limit/2, min(limit/heapDivisor*heapParts, limit-programBytes)))
	}
}

// BudgetFor returns the number of bytes for clients' data in a process that may take limit bytes, or 0 for
// no limit.
func BudgetFor(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	return max(limit/budgetDivisor, minBudget)
}
