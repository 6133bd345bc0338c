package waitpolicy

const (
	// allLoadsWeight is the maximum weight of the sketch for all loads beside the one for a load.
	allLoadsWeight = 16
	// fleetWeight is the maximum weight of other instances' sketches.
	fleetWeight = 128
	// distrustDivisor divides the trust in other instances' sketches after a change of a part.
	distrustDivisor = 16
	// reuseDivisor divides the outcomes that a forecast was made of: it is used for so many more of each part.
	reuseDivisor = 24
)

// newForecast returns a forecast and for how many outcomes it is used.
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

// blendedSketch returns all that is known of a part: this instance's sketch for the load, with limited weights that
// for all loads and the fleet's. The fleet's count less with the weight of the own one, which is returned too.
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

// addLimited adds another sketch, multiplied by a factor, with a limited weight.
func (s *Sketch) addLimited(other *Sketch, factor, maxWeight float64) {
	if weight := other.Weight() * factor; weight > 0 {
		s.Add(other, factor*min(1, maxWeight/weight))
	}
}
