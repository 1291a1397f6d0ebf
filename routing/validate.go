package routing

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxRouteTime is the longest time of a route that makes sense. Longer ones are slips,
// and arithmetic on them could overflow.
const maxRouteTime = 24 * time.Hour

// Validate returns an error that names the first part of the configuration which cannot
// be applied. Such a configuration is refused as a whole: a part of it could send
// requests to a back end that the operator did not mean.
func (c *Config) Validate() error {
	if c.Version < 1 {
		return errors.Errorf("version %d is not positive", c.Version)
	}
	type location struct{ host, prefix string }
	seen := map[location]string{}
	for _, r := range c.Routes {
		if err := r.validate(); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		at := location{strings.ToLower(r.Host), r.Prefix}
		if other, ok := seen[at]; ok {
			return errors.Errorf("routes %q and %q have the same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		seen[at] = r.Name
	}
	return nil
}

func (r *Route) validate() error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return errors.Errorf("host %q or prefix %q is not valid", r.Host, r.Prefix)
	}
	for name, d := range map[string]time.Duration{"timeout": r.Timeout, "latency goal": r.LatencyGoal, "gap goal": r.GapGoal} {
		if d < 0 || d > maxRouteTime {
			return errors.Errorf("%s %s is not between 0 and %s", name, d, maxRouteTime)
		}
	}
	total := 0
	for _, s := range r.Split {
		if s.Weight < 0 || s.Backend == "" {
			return errors.Errorf("back end %q with weight %d is not valid", s.Backend, s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("no back end has a weight")
	}
	return nil
}
