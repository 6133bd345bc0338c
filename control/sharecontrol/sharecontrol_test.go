package sharecontrol

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
)

func newRegressors(shares, lateness []float64) *mat.VecDense {
	return mat.NewVecDense(len(shares)+len(lateness), append(append([]float64{}, shares...), lateness...))
}

func TestEstimateConvergesToALinearSystem(t *testing.T) {
	controller := New([]float64{1, 1})
	system := [][]float64{{-2, 0.5, 0.3, 0}, {0.4, -1, 0, 0.2}}
	lateness := []float64{1, 1}
	for step := 0; step < 400; step++ {
		shares := []float64{0.5 + 0.3*math.Sin(float64(step)*1.7), 0.5 + 0.3*math.Cos(float64(step)*2.9)}
		controller.regressors = newRegressors(shares, lateness)
		next := make([]float64, 2)
		for i := range next {
			for j := range system[i] {
				next[i] += system[i][j] * controller.regressors.AtVec(j)
			}
		}
		controller.updateEstimate(next)
		lateness = next
	}
	for i := range system {
		for j, w := range system[i] {
			if got := controller.estimate.At(i, j); math.Abs(got-w) > 0.02 {
				t.Errorf("X[%d][%d] is %.3f, want %.3f", i, j, got, w)
			}
		}
	}
}

// The covariance must not grow in directions in which there is no new information.
func TestCovarianceStaysBoundedWithoutNewInformation(t *testing.T) {
	controller := New([]float64{1, 2, 3})
	lateness := []float64{0.1, 0.1, 0.1}
	shares := []float64{1. / 3, 1. / 3, 1. / 3}
	for step := 0; step < 5000; step++ {
		shares = controller.NextShares(shares, lateness, true)
		for i := range shares {
			if math.IsNaN(shares[i]) || shares[i] < 0 {
				t.Fatalf("invalid shares %v at step %d", shares, step)
			}
		}
	}
	for i := 0; i < 6; i++ {
		if p := controller.covariance.At(i, i); p > 10*initialCovariance || p <= 0 {
			t.Errorf("covariance is %g in direction %d", p, i)
		}
	}
}

func TestOptimalSharesMatchAManualCalculation(t *testing.T) {
	// W = I, B0 = -I, A1 = I, y = (3, 1): error (-2, 0); S = 1/(1+q) I, v = (2, 0)/(1+q),
	// and (14) moves both by the same amount until the sum is one.
	controller := New([]float64{1, 1})
	for i := 0; i < 2; i++ {
		for j := 0; j < 4; j++ {
			controller.estimate.Set(i, j, 0)
		}
		controller.estimate.Set(i, i, -1)
		controller.estimate.Set(i, 2+i, 1)
	}
	v := 2 / (1 + largeShareCost*largeShareCost)
	share0, share1 := v-(v-1)/2, -(v-1)/2
	lowest := math.Min(0, share1)
	sum := share0 + share1 - 2*lowest
	shares := controller.optimalShares([]float64{3, 1})
	if math.Abs(shares[0]-(share0-lowest)/sum) > 1e-9 || math.Abs(shares[1]-(share1-lowest)/sum) > 1e-9 {
		t.Errorf("got shares %v, want %g and %g", shares, (share0-lowest)/sum, (share1-lowest)/sum)
	}
}

func TestHigherPricedPlanGetsTheLargerShareUnderOverload(t *testing.T) {
	controller := New([]float64{0.5, 1.5})
	shares := []float64{0.5, 0.5}
	for step := 0; step < 5; step++ {
		shares = controller.NextShares(shares, []float64{2, 2}, true)
	}
	if shares[1] <= shares[0] {
		t.Errorf("both plans are late, and the share of the one with the higher price is %.2f, of the other %.2f", shares[1], shares[0])
	}
	if shares = New([]float64{0.5, 1.5}).NextShares(shares, []float64{0.1, 0.1}, true); math.Abs(shares[0]-0.5) > 1e-9 {
		t.Errorf("both plans meet their objectives, and the shares are %v, want 0.5 each", shares)
	}
}
