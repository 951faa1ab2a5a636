package decision

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// solvePrimal solves the primal of the fluid linear program with gonum's simplex: the largest value of
// admitted shares x of the bids, 0 <= x <= 1, within both budgets. It shares no code with solveDual.
func solvePrimal(t *testing.T, bids []bid, workBudget, slotBudget float64) float64 {
	t.Helper()
	n := len(bids)
	// Variables: n shares, n slacks of x <= 1, and the slacks of the two budgets.
	c := make([]float64, 2*n+2)
	a := mat.NewDense(n+2, 2*n+2, nil)
	b := make([]float64, n+2)
	for i, p := range bids {
		c[i] = -p.value
		a.Set(i, i, 1)
		a.Set(i, n+i, 1)
		b[i] = 1
		a.Set(n, i, p.cost)
		a.Set(n+1, i, p.holdTime)
	}
	a.Set(n, 2*n, 1)
	a.Set(n+1, 2*n+1, 1)
	b[n] = workBudget
	b[n+1] = slotBudget
	z, _, err := lp.Simplex(c, a, b, 1e-10, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -z
}

// dualAt is the value of the dual at the given prices.
func dualAt(bids []bid, workBudget, slotBudget float64, at prices) float64 {
	sum := workBudget*at.work + slotBudget*at.slot
	for _, b := range bids {
		sum += math.Max(0, b.value-at.work*b.cost-at.slot*b.holdTime)
	}
	return sum
}

// solveDual agrees with an independent solver of the linear program, and breaks ties toward the highest sum
// of prices, which is the most selective.
func TestSolveDualMatchesSimplex(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		n := 1 + rng.IntN(12)
		bids := make([]bid, n)
		for i := range bids {
			// Small integers make ties and degenerate mixes common.
			bids[i] = bid{float64(rng.IntN(5)), float64(1 + rng.IntN(4)), float64(rng.IntN(4))}
		}
		workBudget := float64(rng.IntN(3 * n))
		slotBudget := float64(rng.IntN(3 * n))
		solution := solveDual(bids, workBudget, slotBudget)
		if !(solution.work >= 0 && solution.slot >= 0) || math.IsInf(solution.work+solution.slot, 0) {
			t.Fatalf("prices %+v", solution)
		}
		got := dualAt(bids, workBudget, slotBudget, solution)
		want := solvePrimal(t, bids, workBudget, slotBudget)
		if math.Abs(got-want) > 1e-6*(1+want) {
			t.Fatalf("dual %v, simplex %v for %v, budgets %v, %v", got, want, bids, workBudget, slotBudget)
		}
		// Ties go to the most selective prices: among the vertices of single bids, none with the same dual
		// has a higher sum of prices.
		for _, p := range bids {
			for _, vertex := range []prices{{work: p.value / p.cost}, {slot: p.value / p.holdTime}} {
				if math.IsInf(vertex.slot, 0) || math.IsNaN(vertex.slot) {
					continue
				}
				dual := dualAt(bids, workBudget, slotBudget, vertex)
				if dual <= got+1e-12 && vertex.work+vertex.slot > solution.work+solution.slot+1e-9 {
					t.Fatalf("tie broken toward %+v; %+v is more selective", solution, vertex)
				}
			}
		}
	}
}

// Among prices with the same dual, solveDual returns the most selective ones.
func TestSolveDualTies(t *testing.T) {
	same := []bid{{2, 1, 1}, {2, 1, 1}, {2, 1, 1}}
	for _, test := range []struct {
		name                   string
		bids                   []bid
		workBudget, slotBudget float64
		want                   prices
	}{
		{"no bids", nil, 1, 1, prices{0, 0}},
		{"budgets above the demand", same, 10, 10, prices{0, 0}},
		{"exactly enough for one of three equal bids", same, 1, 10, prices{2, 0}},
		{"exactly enough for all: the highest price at which all are admitted", same, 3, 10, prices{2, 0}},
		{"slot budget below the demand", same, 10, 1, prices{0, 2}},
		{"no budget, no hold times", []bid{{3, 1, 0}, {1, 1, 0}}, 0, 0, prices{3, 0}},
		{"worthless and free requests", []bid{{0, 0, 0}, {0, 1, 1}}, 1, 1, prices{0, 0}},
	} {
		got := solveDual(test.bids, test.workBudget, test.slotBudget)
		if got != test.want {
			t.Errorf("%s: prices %+v, want %+v", test.name, got, test.want)
		}
	}
}
