// Package sharecontrol sets the shares that plans have in a scheduler so that each meets its latency objective.
//
// A Controller estimates online, by recursive least squares (RLS), how the lateness of the next control window depends
// on the current shares and lateness, and sets the shares of least quadratic cost under that estimate (LQR). It is
// deterministic: it uses no clock, no random numbers and no I/O. It is not safe for concurrent use.
package sharecontrol

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Controller sets shares as described for the package. It estimates X in y(k+1) = X [u(k); y(k)], with shares u and
// lateness y.
type Controller struct {
	planCount  int
	weights    *mat.DiagDense // W
	estimate   *mat.Dense     // X = [B0 A1], plans by 2*plans
	covariance *mat.Dense     // P, 2*plans by 2*plans
	regressors *mat.VecDense  // phi; nil until shares have been set
}

// State is the stored estimate of a controller. Matrices are stored by rows. The keys are the symbols of the paper.
type State struct {
	Estimate   []float64 `cbor:"X"`
	Covariance []float64 `cbor:"P"`
	Regressors []float64 `cbor:"Phi"` // empty until shares have been set
}

// State returns a copy of the controller's state.
func (c *Controller) State() State {
	s := State{
		Estimate:   slices.Clone(c.estimate.RawMatrix().Data),
		Covariance: slices.Clone(c.covariance.RawMatrix().Data),
	}
	if c.regressors != nil {
		s.Regressors = slices.Clone(c.regressors.RawVector().Data)
	}
	return s
}

// Restore replaces the controller's state by a copy of s. It fails if s is for another number of plans.
func (c *Controller) Restore(s State) error {
	n := c.planCount
	hasRegressors := len(s.Regressors) > 0
	fitsMatrices := len(s.Estimate) == 2*n*n && len(s.Covariance) == 4*n*n
	fitsRegressors := !hasRegressors || len(s.Regressors) == 2*n
	if !fitsMatrices || !fitsRegressors {
		return fmt.Errorf("share controller state does not match %d plans", n)
	}
	c.estimate = mat.NewDense(n, 2*n, slices.Clone(s.Estimate))
	c.covariance = mat.NewDense(2*n, 2*n, slices.Clone(s.Covariance))
	if hasRegressors {
		c.regressors = mat.NewVecDense(2*n, slices.Clone(s.Regressors))
	}
	return nil
}
