package sharecontrol

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
)

const (
	forgettingFactor           = 0.95 // lambda of the RLS
	largeShareCost             = 0.3  // diagonal of Q
	initialCovariance          = 1.0  // diagonal of P(0)
	initialShareEffect         = 3.0  // B0(0): reduction of lateness per share above the equal share
	initialLatenessPersistence = 0.9  // A1(0): fraction of the lateness that carries over to the next window
	maxNorm                    = 1e4  // norm of P or X above which the estimate is reset
	minInformation             = 1e-9 // phi' P phi below which a window does not update the estimate
	maxShareSumError           = 1e-6 // maximum difference between one and the sum of the shares
)

// New returns a controller of one share for each price. The weight of a plan is proportional to its price.
func New(prices []float64) *Controller {
	c := &Controller{planCount: len(prices), weights: mat.NewDiagDense(len(prices), nil)}
	for i, price := range prices {
		c.weights.SetDiag(i, 1)
		if floats.Sum(prices) > 0 {
			c.weights.SetDiag(i, price*float64(c.planCount)/floats.Sum(prices))
		}
	}
	c.reset()
	return c
}

// reset sets the estimate to its initial value.
func (c *Controller) reset() {
	c.estimate = mat.NewDense(c.planCount, 2*c.planCount, nil)
	c.covariance = mat.NewDense(2*c.planCount, 2*c.planCount, nil)
	for i := 0; i < 2*c.planCount; i++ {
		c.covariance.Set(i, i, initialCovariance)
	}
	for i := 0; i < c.planCount; i++ {
		for j := 0; j < c.planCount; j++ {
			c.estimate.Set(i, j, initialShareEffect/float64(c.planCount))
		}
		c.estimate.Set(i, i, initialShareEffect/float64(c.planCount)-initialShareEffect)
		c.estimate.Set(i, c.planCount+i, initialLatenessPersistence)
	}
	c.regressors = nil
}

// NextShares returns the shares of the next window, given the shares during the last one and the lateness of
// each plan at its end. The estimate is updated with the last window if learn is set.
func (c *Controller) NextShares(shares, lateness []float64, learn bool) []float64 {
	if c.regressors != nil && learn {
		c.updateEstimate(lateness)
	}
	next := c.optimalShares(lateness)
	if !(math.Abs(floats.Sum(next)-1) < maxShareSumError) { // NaN, or a singular matrix
		c.reset()
		return shares
	}
	c.regressors = mat.NewVecDense(2*c.planCount, append(append([]float64{}, next...), lateness...))
	return next
}

// updateEstimate performs one RLS step with directional forgetting. The units of the term printed as (4) in
// the paper do not match. This is Kulhavy's form (the paper's [9]): the information matrix grows by (lambda -
// (1-lambda)/r) phi phi' with r = phi' P phi, so that old information is discounted only in the direction of
// new data.
func (c *Controller) updateEstimate(lateness []float64) {
	var gain, residual mat.VecDense
	gain.MulVec(c.covariance, c.regressors)
	information := mat.Dot(c.regressors, &gain)
	if information < minInformation {
		return
	}
	residual.MulVec(c.estimate, c.regressors)
	residual.SubVec(mat.NewVecDense(c.planCount, lateness), &residual)
	c.estimate.RankOne(c.estimate, 1/(forgettingFactor+information), &residual, &gain)
	beta := forgettingFactor - (1-forgettingFactor)/information
	c.covariance.RankOne(c.covariance, -beta/(1+beta*information), &gain, &gain)
	isBounded := mat.Norm(c.covariance, 1) < maxNorm && mat.Norm(c.estimate, 1) < maxNorm
	if !isBounded { // also NaN
		c.reset()
	}
}

// optimalShares applies control law (14) of the paper: it computes the shares of least cost that sum to one,
// then shifts them to be non-negative and normalizes them. It returns NaN if S is singular.
func (c *Controller) optimalShares(lateness []float64) []float64 {
	n := c.planCount
	var effect, normal, inverse mat.Dense // W B0, and S with its inverse
	var errors, gradient, optimum, direction mat.VecDense
	effect.Mul(c.weights, c.estimate.Slice(0, n, 0, n))
	errors.MulVec(c.estimate.Slice(0, n, n, 2*n), mat.NewVecDense(n, lateness))
	ones := mat.NewVecDense(n, nil)
	normal.Mul(effect.T(), &effect)
	for i := 0; i < n; i++ {
		// A plan that meets its objective has no error to track. Otherwise, while all plans do better than
		// their objectives, law (14) would slow down the plan with the highest price first.
		errors.SetVec(i, math.Min(0, 1-errors.AtVec(i)))
		normal.Set(i, i, normal.At(i, i)+largeShareCost*largeShareCost)
		ones.SetVec(i, 1)
	}
	if inverse.Inverse(&normal) != nil {
		return []float64{math.NaN()}
	}
	errors.MulVec(c.weights, &errors)
	gradient.MulVec(effect.T(), &errors)
	optimum.MulVec(&inverse, &gradient)
	direction.MulVec(&inverse, ones)
	optimum.AddScaledVec(&optimum, -(mat.Sum(&optimum)-1)/mat.Sum(&direction), &direction)
	shares := append([]float64{}, optimum.RawVector().Data...)
	floats.AddConst(-math.Min(0, floats.Min(shares)), shares)
	floats.Scale(1/floats.Sum(shares), shares)
	return shares
}
