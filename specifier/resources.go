package specifier

// Resources is an amount of the resources that a minion offers and a task uses.
type Resources struct {
	MilliCPU     int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of two amounts.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU + other.MilliCPU,
		MemoryMB:     resources.MemoryMB + other.MemoryMB,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns the difference of two amounts. Its fields may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU - other.MilliCPU,
		MemoryMB:     resources.MemoryMB - other.MemoryMB,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// Times returns the total amount for count equal requests.
func (resources Resources) Times(count int) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU * count,
		MemoryMB:     resources.MemoryMB * count,
		Accelerators: resources.Accelerators * count,
	}
}

// Holds reports whether a request fits into the amount.
func (resources Resources) Holds(request Resources) bool {
	return request.MilliCPU <= resources.MilliCPU && request.MemoryMB <= resources.MemoryMB &&
		request.Accelerators <= resources.Accelerators
}

// Fit returns how many equal requests fit into the amount, at most limit.
func (resources Resources) Fit(request Resources, limit int) int {
	count := limit
	for _, pair := range [...][2]int{
		{resources.MilliCPU, request.MilliCPU},
		{resources.MemoryMB, request.MemoryMB},
		{resources.Accelerators, request.Accelerators},
	} {
		if pair[1] > 0 {
			count = min(count, max(pair[0], 0)/pair[1])
		}
	}
	return count
}

// MilliPerCore is the number of thousandths of a core in a core.
const MilliPerCore = 1000

// AcceleratorWeight is the weight of an accelerator in thousandths of a core.
const AcceleratorWeight = 8 * MilliPerCore

// Weight returns the size of an amount as one number, in thousandths of a core. Accelerators have a
// higher weight, because large blocks of them are the rarest.
func (resources Resources) Weight() int {
	return resources.Accelerators*AcceleratorWeight + resources.MilliCPU
}

func (resources Resources) nonNegative() bool {
	return resources.MilliCPU >= 0 && resources.MemoryMB >= 0 && resources.Accelerators >= 0
}
