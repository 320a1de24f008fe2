package placer

import "fmt"

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	cpu          int64 // thousandths of a processor, never negative in a request
	memory       int64 // MiB
	accelerators int64 // whole devices
}

// NewResources returns an amount of processors (in thousandths), memory (in
// MiB) and accelerators (whole devices).
func NewResources(cpu, memory, accelerators int64) Resources {
	return Resources{cpu: cpu, memory: memory, accelerators: accelerators}
}

// CPU returns the processors in thousandths.
func (r Resources) CPU() int64 { return r.cpu }

// Memory returns the memory in MiB.
func (r Resources) Memory() int64 { return r.memory }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.cpu + o.cpu, r.memory + o.memory, r.accelerators + o.accelerators}
}

// Sub returns r minus o; parts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.cpu - o.cpu, r.memory - o.memory, r.accelerators - o.accelerators}
}

// Scale returns n times the amount.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.cpu * n, r.memory * n, r.accelerators * n}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.cpu <= free.cpu && r.memory <= free.memory && r.accelerators <= free.accelerators
}

// IsZero reports whether all parts are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// The most that one VM can have.
const (
	maxVMProcessors   = 100_000_000   // thousandths of a processor
	maxVMMemory       = 1_000_000_000 // MiB
	maxVMAccelerators = 100_000
)

// FitsVM reports whether one VM can have these resources: no part is negative, and none is
// so large that the sum over a fleet overflows.
func (r Resources) FitsVM() bool {
	return r.IsValid() && r.cpu <= maxVMProcessors && r.memory <= maxVMMemory && r.accelerators <= maxVMAccelerators
}

// IsValid reports whether no part is negative.
func (r Resources) IsValid() bool { return r.cpu >= 0 && r.memory >= 0 && r.accelerators >= 0 }

// DominantShare returns the largest of the fractions of processors, memory and accelerators
// of total that r takes, from 0 to 1 if r fits. What total lacks doesn't count.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, part := range [...][2]int64{
		{r.cpu, total.cpu},
		{r.memory, total.memory},
		{r.accelerators, total.accelerators},
	} {
		if part[1] > 0 {
			share = max(share, float64(part[0])/float64(part[1]))
		}
	}
	return share
}

// String returns the amount for logs.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMiB accelerators=%d", r.cpu, r.memory, r.accelerators)
}
