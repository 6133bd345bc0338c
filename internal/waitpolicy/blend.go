package waitpolicy

const (
	// allLoadsWeight is the maximum weight of the sketch over all loads when it is added to the sketch for one load.
	allLoadsWeight = 16
	// fleetWeight is the maximum weight of other instances' sketches.
	fleetWeight = 128
	// distrustDivisor divides the trust in other instances' sketches after a part has changed.
	distrustDivisor = 16
	// reuseDivisor divides the number of outcomes in a forecast; the result is the number of new outcomes of each
	// part after which the forecast is computed again.
	reuseDivisor = 24
)

// newForecast returns a forecast and the number of outcomes for which it is used.
func (m *Model) newForecast(className string, c *class, load int) (forecast *Forecast, observations int) {
	parts := m.settings.Parts
	forecast = &Forecast{
		load:        (float64(load) + 0.5) / Loads,
		correlation: c.correlation(),
		parts:       make([]curve, len(parts)),
	}
	minWeight := float64(maxRemembered)
	for i := range parts {
		sketch, ownWeight := m.blendedSketch(Key{Class: className, Part: parts[i].Name, Load: load})
		forecast.parts[i].estimate(&sketch)
		minWeight = min(minWeight, ownWeight)
	}
	return forecast, len(parts) * max(1, int(minWeight/reuseDivisor))
}

// blendedSketch combines the sketches of a part: this instance's sketch for the load and, with limited weights, its
// sketch over all loads and the other instances' sketches. The weight of the other instances' sketches decreases with
// the weight of this instance's sketch for the load, which is returned as ownWeight.
func (m *Model) blendedSketch(key Key) (blended Sketch, ownWeight float64) {
	isDistrusting := false
	if h := m.histories[key]; h != nil {
		blended.Add(&h.longTerm.Sketch, h.longTerm.countScale())
		ownWeight = blended.Weight()
		isDistrusting = h.distrustLeft > 0
	}
	allLoads := key
	allLoads.Load = AllLoads
	if h := m.histories[allLoads]; h != nil {
		blended.addLimited(&h.longTerm.Sketch, h.longTerm.countScale(), allLoadsWeight)
		isDistrusting = isDistrusting || h.distrustLeft > 0
	}
	trust := m.trust
	if isDistrusting {
		trust /= distrustDivisor
	}
	trust /= 1 + ownWeight/(fleetWeight/2)
	if s := m.fleet[key]; s != nil {
		blended.addLimited(s, 1, fleetWeight*trust)
	}
	if s := m.fleet[allLoads]; s != nil {
		blended.addLimited(s, 1, allLoadsWeight*trust)
	}
	return blended, ownWeight
}

// addLimited adds another sketch, multiplied by a factor and limited to maxWeight.
func (s *Sketch) addLimited(other *Sketch, factor, maxWeight float64) {
	if weight := other.Weight() * factor; weight > 0 {
		s.Add(other, factor*min(1, maxWeight/weight))
	}
}
