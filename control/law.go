package control

import (
	"math"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
)

// Tuned constants of the share controller.
const (
	forgettingFactor           = 0.95 // lambda of the RLS
	largeShareCost             = 0.3  // diagonal of Q
	initialCovariance          = 1.0  // diagonal of P(0)
	initialShareEffect         = 3.0  // B0(0): lateness removed by a share above the equal one
	initialLatenessPersistence = 0.9  // A1(0): lateness that stays to the next window
	maxCovarianceNorm          = 1e4  // norm of P or X above which the estimate starts anew
)

func newShareController(prices []float64) *shareController {
	l := &shareController{plans: len(prices), weights: mat.NewDiagDense(len(prices), nil)}
	for i, p := range prices {
		if l.weights.SetDiag(i, 1); floats.Sum(prices) > 0 {
			l.weights.SetDiag(i, p*float64(l.plans)/floats.Sum(prices))
		}
	}
	l.reset()
	return l
}

func (l *shareController) reset() {
	l.estimate, l.covariance = mat.NewDense(l.plans, 2*l.plans, nil), mat.NewDense(2*l.plans, 2*l.plans, nil)
	for i := 0; i < 2*l.plans; i++ {
		l.covariance.Set(i, i, initialCovariance)
	}
	for i := 0; i < l.plans; i++ {
		for j := 0; j < l.plans; j++ {
			l.estimate.Set(i, j, initialShareEffect/float64(l.plans))
		}
		l.estimate.Set(i, i, initialShareEffect/float64(l.plans)-initialShareEffect)
		l.estimate.Set(i, l.plans+i, initialLatenessPersistence)
	}
	l.regressors = nil
}

// nextShares takes the shares u in force during the interval and the y measured at its
// end; it returns the next shares.
func (l *shareController) nextShares(u, y []float64, learn bool) []float64 {
	if l.regressors != nil && learn {
		l.updateEstimate(y)
	}
	next := l.optimalShares(y)
	if !(math.Abs(floats.Sum(next)-1) < 1e-6) { // NaN, or a singular matrix
		l.reset()
		return u
	}
	l.regressors = mat.NewVecDense(2*l.plans, append(append([]float64{}, next...), y...))
	return next
}

// updateEstimate is one RLS step with directional forgetting. The term printed in (4)
// does not have matching units; this is Kulhavy's form (the paper's [9]), in which
// the information grows by (lambda - (1-lambda)/r) phi phi', r = phi' P phi, and
// so is lost only in the direction that new data come from.
func (l *shareController) updateEstimate(y []float64) {
	var pphi, e mat.VecDense
	pphi.MulVec(l.covariance, l.regressors)
	r := mat.Dot(l.regressors, &pphi)
	if r < epsilon {
		return
	}
	e.MulVec(l.estimate, l.regressors)
	e.SubVec(mat.NewVecDense(l.plans, y), &e)
	l.estimate.RankOne(l.estimate, 1/(forgettingFactor+r), &e, &pphi)
	beta := forgettingFactor - (1-forgettingFactor)/r
	l.covariance.RankOne(l.covariance, -beta/(1+beta*r), &pphi, &pphi)
	if !(mat.Norm(l.covariance, 1) < maxCovarianceNorm) || !(mat.Norm(l.estimate, 1) < maxCovarianceNorm) {
		l.reset()
	}
}

// optimalShares is law (14): the shares of least cost that sum to one, then lifted to
// be no less than zero and normalised. It gives NaN where S cannot be had.
func (l *shareController) optimalShares(y []float64) []float64 {
	n := l.plans
	var wb, m, s mat.Dense
	var err, g, v, s1 mat.VecDense
	wb.Mul(l.weights, l.estimate.Slice(0, n, 0, n))
	err.MulVec(l.estimate.Slice(0, n, n, 2*n), mat.NewVecDense(n, y))
	ones := mat.NewVecDense(n, nil)
	m.Mul(wb.T(), &wb)
	for i := 0; i < n; i++ {
		// Guards against slowing a dear plan first, as law (14) would while all plans are
		// better than their goals: a plan that meets its goal has no error to track.
		err.SetVec(i, math.Min(0, 1-err.AtVec(i)))
		m.Set(i, i, m.At(i, i)+largeShareCost*largeShareCost)
		ones.SetVec(i, 1)
	}
	if s.Inverse(&m) != nil {
		return []float64{math.NaN()}
	}
	err.MulVec(l.weights, &err)
	g.MulVec(wb.T(), &err)
	v.MulVec(&s, &g)
	s1.MulVec(&s, ones)
	v.AddScaledVec(&v, -(mat.Sum(&v)-1)/mat.Sum(&s1), &s1)
	u := append([]float64{}, v.RawVector().Data...)
	floats.AddConst(-math.Min(0, floats.Min(u)), u)
	floats.Scale(1/floats.Sum(u), u)
	return u
}
