package rolloutsim

import (
	"slices"

	"lockflow/internal/canary"

	"gonum.org/v1/gonum/stat/distuv"
)

// maxReasons is the maximum number of stop reasons in a report.
const maxReasons = 5

// Report summarizes many simulated rollouts.
type Report struct {
	Instances  int      `json:"instances"`
	Traffic    string   `json:"traffic"`
	Harm       string   `json:"harm"`
	Judge      string   `json:"judge"`
	Without    string   `json:"without,omitempty"`
	Runs       int      `json:"runs"`
	Worse      int      `json:"worse"`       // rollouts stopped because the new side is worse
	NoEvidence int      `json:"no_evidence"` // rollouts stopped for lack of evidence
	Passed     int      `json:"passed"`
	Low        float64  `json:"worse_low"`  // lower 95% confidence bound of the fraction stopped as worse, see Bounds
	High       float64  `json:"worse_high"` // upper bound
	AtStage    []int    `json:"at_stage"`   // number of stops of either kind by stage, the first at index 0
	Minutes    float64  `json:"minutes"`    // median duration
	Touched    float64  `json:"touched"`    // median number of requests to changed instances
	Harmed     float64  `json:"harmed"`     // median number of requests lost by the change
	HarmedP95  float64  `json:"harmed_95"`  // 95th percentile of requests lost by the change
	Reasons    []string `json:"reasons"`    // reasons of the first stops, at most maxReasons
}

// newReport summarizes the outcomes.
func newReport(o *Options, outcomes []outcome) Report {
	r := Report{
		Instances: o.Instances,
		Traffic:   o.Traffic,
		Harm:      o.Harm.Name,
		Judge:     o.Judge,
		Without:   o.Without,
		Runs:      len(outcomes),
		AtStage:   make([]int, len(stageTargets(o.Instances))),
	}
	var minutes, touched, harmed []float64
	for _, x := range outcomes {
		switch x.kind {
		case canary.KindWorse:
			r.Worse++
		case canary.KindNoEvidence:
			r.NoEvidence++
		default:
			r.Passed++
		}
		if x.stage > 0 {
			r.AtStage[x.stage-1]++
			if len(r.Reasons) < maxReasons {
				r.Reasons = append(r.Reasons, x.reason)
			}
		}
		minutes = append(minutes, x.duration.Minutes())
		touched = append(touched, x.touched)
		harmed = append(harmed, x.harmed)
	}
	r.Minutes = quantile(minutes, 0.5)
	r.Touched = quantile(touched, 0.5)
	r.Harmed = quantile(harmed, 0.5)
	r.HarmedP95 = quantile(harmed, 0.95)
	r.Low, r.High = Bounds(r.Worse, r.Runs)
	return r
}

// quantile returns a quantile of values and sorts them in place.
func quantile(values []float64, share float64) float64 {
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// Bounds returns the Clopper-Pearson 95% confidence interval of the success probability after count successes in total
// trials.
func Bounds(count, total int) (low, high float64) {
	low, high = 0, 1
	if count > 0 {
		low = distuv.Beta{Alpha: float64(count), Beta: float64(total - count + 1)}.Quantile(0.025)
	}
	if count < total {
		high = distuv.Beta{Alpha: float64(count + 1), Beta: float64(total - count)}.Quantile(0.975)
	}
	return low, high
}
