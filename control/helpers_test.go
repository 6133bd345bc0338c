package control

import "gonum.org/v1/gonum/mat"

func newPhi(u, y []float64) *mat.VecDense {
	return mat.NewVecDense(len(u)+len(y), append(append([]float64{}, u...), y...))
}
