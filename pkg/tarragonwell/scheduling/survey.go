package scheduling

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/admission"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/policy"
)

const (
	// surveyBurst is how much of the budget may be saved up for a swing of demand.
	surveyBurst = 2 * time.Second
	// askedLately is the age up to which an answer isn't asked for again.
	askedLately = 12 * time.Millisecond
)

// configureSurveys sets the instance's part of the probe budget. The budget is
// a rate a target, so that no swing of demand adds a question.
func (s *Scheduler) configureSurveys() {
	service := s.options.Service
	if service.Survey <= 0 {
		return
	}
	perSecond := service.ProbeBudget * float64(len(s.targets)) / float64(max(1, s.options.Instances))
	s.surveys.SetLimit(rate.Limit(perSecond))
	s.surveys.SetBurst(max(service.Survey, int(perSecond*surveyBurst.Seconds())))
}

// Survey draws the targets that are asked for their load before a call is
// placed. It returns none where the budget is spent or calls wait already.
func (s *Scheduler) Survey(now time.Time, r Request) []string {
	most := s.options.Service.Survey
	if most <= 0 || s.queue.Len() > 0 {
		return nil
	}
	usable := s.usable(now, &admission.Waiter{
		Kind:    r.Kind,
		Exclude: r.Exclude,
	})
	near := policy.Near(usable, r.Kind)
	if len(near) < 2 {
		return nil
	}
	known := 0
	var ask []string
	for _, i := range rand.Perm(len(near)) {
		if known+len(ask) >= most {
			break
		}
		t := near[i]
		if now.Sub(t.AskedAt) < askedLately {
			known++
			continue
		}
		if !s.surveys.AllowN(now, 1) {
			break
		}
		ask = append(ask, t.ID)
	}
	return ask
}

// TakeAnswer takes in the answer to a question for a target's load.
func (s *Scheduler) TakeAnswer(now time.Time, id string, l tarragonwell.LoadReport) {
	s.TakeLoad(now, id, l)
	if t := s.find(id); t != nil {
		t.AskedAt = now
	}
}
