package leader

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/dispatch/backlog"
)

const (
	// forecastInterval is the shortest time between two forecasts of a term. It is half of
	// backlog.MaxAge, so that entries have a valid one although their reads are up to 0.8 s apart.
	forecastInterval = time.Second
	// forecastDelay is the time from the beginning of a term to its first forecast. Agents need this
	// long to find a new leader. Until they have, it knows few workers, and the service would seem
	// overloaded.
	forecastDelay = 3 * time.Second
)

// forecastSchedule decides which appends carry a forecast. It is used only by the leading
// goroutine.
type forecastSchedule struct {
	// earliest is when the term's first forecast that is not empty may be written.
	earliest time.Time
	// writtenAt is when a forecast was last written in this term, or zero.
	writtenAt time.Time
	// stored reports whether the stored forecast, possibly of an earlier term, names any service.
	stored bool
	// services are the services of the last written forecast.
	services []string
}

func newForecastSchedule(now time.Time, stored bool) *forecastSchedule {
	return &forecastSchedule{earliest: now.Add(forecastDelay), stored: stored}
}

// next returns the forecast that the next append has to carry, if one is due, given the current
// backlog. While no service is overloaded it is an empty one, if the stored one is not.
func (f *forecastSchedule) next(now time.Time, current backlog.Forecast) (backlog.Forecast, bool) {
	if !f.writtenAt.IsZero() && now.Sub(f.writtenAt) < forecastInterval {
		return backlog.Forecast{}, false
	}
	if now.Before(f.earliest) {
		current = backlog.Forecast{}
	}
	return current, f.stored || !current.Empty()
}

// markWritten records that a forecast was stored.
func (f *forecastSchedule) markWritten(now time.Time, written backlog.Forecast) {
	f.writtenAt, f.stored = now, !written.Empty()
}

// logForecast logs when the set of overloaded services changes.
func (l *leadership) logForecast(written backlog.Forecast) {
	services := written.Services()
	if slices.Equal(services, l.forecasts.services) {
		return
	}
	l.forecasts.services = services
	l.deps.Logger.Info().Str("step", "leader.forecast").Int64("term", l.writer.leader.Term).
		Strs("services", services).Msg("overloaded services changed")
}
