package guarantor_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"corianderroad/commander"
	"corianderroad/guarantor"
	"corianderroad/identifier"
)

// packing searches all packings of claims beside uses. It shares no code with
// the ledger.
type packing struct {
	workers []guarantor.Worker
	claims  []guarantor.Claim
	uses    []guarantor.Use
	claimed []map[identifier.Workspace]int
}

// exists reports whether all claims can be packed at the same time.
func (packing *packing) exists() bool {
	packing.claimed = make([]map[identifier.Workspace]int, len(packing.workers))
	for i := range packing.claimed {
		packing.claimed[i] = make(map[identifier.Workspace]int)
	}
	return packing.packClaim(0)
}

func (packing *packing) packClaim(n int) bool {
	if n == len(packing.claims) {
		return true
	}
	return packing.packMember(n, 0, 0, "")
}

// packMember packs the remaining members of claim n on workers from index from on.
func (packing *packing) packMember(n, packed, from int, rack identifier.Rack) bool {
	claim := packing.claims[n]
	if packed == claim.Shape.Members {
		return packing.packClaim(n + 1)
	}
	for i := from; i < len(packing.workers); i++ {
		worker := packing.workers[i]
		if packed > 0 && claim.Shape.Adjacency == commander.SameRack && worker.Rack != rack {
			continue
		}
		packing.claimed[i][claim.Workspace] += claim.Shape.Accelerators
		if packing.load(i) <= worker.Accelerators && packing.packMember(n, packed+1, i+1, worker.Rack) {
			return true
		}
		packing.claimed[i][claim.Workspace] -= claim.Shape.Accelerators
	}
	return false
}

func (packing *packing) load(i int) int {
	used := make(map[identifier.Workspace]int)
	for _, use := range packing.uses {
		for _, worker := range use.Workers {
			if worker == packing.workers[i].Worker {
				used[use.Workspace] += use.Accelerators
			}
		}
	}
	sum := 0
	for workspace, accelerators := range packing.claimed[i] {
		sum += max(accelerators, used[workspace])
		delete(used, workspace)
	}
	for _, accelerators := range used {
		sum += accelerators
	}
	return sum
}

func drawWorkers(t *rapid.T) []guarantor.Worker {
	var workers []guarantor.Worker
	for rack := range rapid.IntRange(1, 2).Draw(t, "racks") {
		for i := range rapid.IntRange(1, 3).Draw(t, "per rack") {
			workers = append(workers, guarantor.Worker{
				Worker: identifier.Worker(fmt.Sprintf("w%d-%d", rack, i)), Rack: identifier.Rack(fmt.Sprint(rack)),
				Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"),
			})
		}
	}
	return workers
}

func drawShape(t *rapid.T) commander.Shape {
	return commander.Shape{
		Members: rapid.IntRange(1, 3).Draw(t, "members"), Accelerators: rapid.IntRange(1, 4).Draw(t, "each"),
		Adjacency: commander.Adjacency(rapid.IntRange(0, 1).Draw(t, "adjacency")),
	}
}

func drawUse(t *rapid.T, workers []guarantor.Worker) guarantor.Use {
	shape := drawShape(t)
	use := guarantor.Use{Workspace: workspaces.Draw(t, "user"), Accelerators: shape.Accelerators}
	for _, worker := range rapid.Permutation(workers).Draw(t, "workers")[:min(shape.Members, len(workers))] {
		use.Workers = append(use.Workers, worker.Worker)
	}
	return use
}

var workspaces = rapid.SampledFrom([]identifier.Workspace{"a", "b", "c"})

// TestLedgerIsSound guards against a ledger that adds a use although the
// guarantees can then no longer be reclaimed together. It logs how often the
// ledger finds no packing although one exists.
func TestLedgerIsSound(t *testing.T) {
	answers, falseRefusals := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		var claims []guarantor.Claim
		for range rapid.IntRange(1, 3).Draw(t, "claims") {
			claims = append(claims, guarantor.Claim{Workspace: workspaces.Draw(t, "workspace"), Shape: drawShape(t)})
		}
		ledger := guarantor.New(workers, claims, nil)
		missing := ledger.Missing()
		possible := (&packing{workers: workers, claims: claims}).exists()
		answers++
		if possible && len(missing) > 0 {
			falseRefusals++
		}
		if !possible && len(missing) == 0 {
			t.Fatalf("the ledger packed claims %v on %v, but no packing exists", claims, workers)
		}
		if len(missing) > 0 {
			return
		}
		var uses []guarantor.Use
		for range rapid.IntRange(1, 6).Draw(t, "uses") {
			if len(uses) > 0 && rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				ledger.Remove(uses[0])
				uses = uses[1:]
				continue
			}
			use := drawUse(t, workers)
			all := append(uses[:len(uses):len(uses)], use)
			added := ledger.Add(use)
			packable := (&packing{workers: workers, claims: claims, uses: all}).exists() && usesFit(workers, all)
			answers++
			switch {
			case added && !packable:
				t.Fatalf("use %v was added to %v on workers %v with claims %v, but no packing exists", use, uses, workers, claims)
			case !added && packable:
				falseRefusals++
			}
			if added {
				uses = all
			}
			if len(ledger.Missing()) > 0 {
				t.Fatalf("a claim is no longer packed after use %v", use)
			}
		}
	})
	t.Logf("%d of %d answers were false refusals: a packing exists", falseRefusals, answers)
}

// usesFit reports whether the uses alone fit on the workers.
func usesFit(workers []guarantor.Worker, uses []guarantor.Use) bool {
	check := &packing{workers: workers, uses: uses, claimed: make([]map[identifier.Workspace]int, len(workers))}
	for i, worker := range workers {
		if check.load(i) > worker.Accelerators {
			return false
		}
	}
	return true
}
