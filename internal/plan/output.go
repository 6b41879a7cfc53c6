package plan

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"minttray/decide/site"
)

// Losses returns the losses to plan for: each site, each pair of sites and each site cut off; or, with names, the loss of the
// named sites together.
func Losses(d *site.Deployment, names []string) ([]site.Loss, error) {
	if len(names) > 0 {
		loss := site.Loss{}
		for _, name := range names {
			index := -1
			for i, s := range d.Sites {
				if s.Name == name {
					index = i
				}
			}
			if index < 0 {
				return nil, fmt.Errorf("unknown site %q", name)
			}
			loss.Sites = append(loss.Sites, index)
		}
		return []site.Loss{loss}, nil
	}
	var losses []site.Loss
	for i := range d.Sites {
		losses = append(losses, site.Loss{Sites: []int{i}})
	}
	for i := range d.Sites {
		for j := range i {
			losses = append(losses, site.Loss{Sites: []int{j, i}})
		}
	}
	for i := range d.Sites {
		losses = append(losses, site.Loss{Sites: []int{i}, Cut: true})
	}
	return losses, nil
}

// Title describes the loss that a plan is for.
func Title(p site.Plan) string {
	if p.Cut {
		return strings.Join(p.Lost, ", ") + " cut off"
	}
	return "loss of " + strings.Join(p.Lost, " and ")
}

func formatSeconds(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// WriteText writes plans as text and tables.
func WriteText(w io.Writer, d *site.Deployment, plans []site.Plan) {
	for _, p := range plans {
		fmt.Fprintf(w, "%s: %.0f%% of all keys move; origin fetches are down to twice the steady rate or less after %s; full recovery %s after the return, at best\n",
			Title(p), 100*p.MovedKeyShare, formatSeconds(p.RefillSeconds), formatSeconds(p.ReturnSeconds))
		t := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
		fmt.Fprint(t, "  \tserved\thits\tcores\tof\tfetches/s\tof\tbusiest cache\t")
		for _, c := range d.Categories {
			fmt.Fprintf(t, "%s\t", c.Name)
		}
		fmt.Fprintln(t)
		for _, f := range p.Phases {
			fmt.Fprintf(t, "  %s\t%.3f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f%%\t", f.Name, f.Served, f.HitRatio,
				f.Asked.Work, f.Has.Work, f.Asked.Fetches, f.Has.Fetches, 100*f.MaxCacheLoad)
			for _, served := range f.ServedByCategory {
				fmt.Fprintf(t, "%.3f\t", served)
			}
			fmt.Fprintln(t)
		}
		t.Flush()
		for _, f := range p.Phases {
			for _, shortage := range f.Shortages {
				fmt.Fprintf(w, "  %s: %s\n", f.Name, shortage)
			}
			if len(f.Refused) > 0 {
				fmt.Fprintf(w, "  %s, refused in this order: %s\n", f.Name, strings.Join(f.Refused, "; "))
			}
		}
		for i, opRate := range p.SiteOpRates {
			if opRate > 0 {
				fmt.Fprintf(w, "  proxies of %s: %.0f ops/s, of which", d.Sites[i].Name, opRate)
				for j, toSite := range p.CrossSiteOpRates[i] {
					fmt.Fprintf(w, " %.0f to %s", toSite, d.Sites[j].Name)
				}
				fmt.Fprintln(w)
			}
		}
		if !p.Cut {
			fmt.Fprint(w, "  return, for all proxies together:")
			for _, s := range p.Steps {
				fmt.Fprintf(w, " from %.1f s %.0f%% of the keys, at most %.0f%% of a warm cache's work;",
					s.StartSeconds, 100*s.ReturnedKeyShare, 100*s.PushLimit)
			}
			fmt.Fprint(w, "\n")
		}
		fmt.Fprintln(w)
	}
}

// WriteJSON writes plans as JSON. It replaces an infinite duration, which JSON can't express, by -1 in the plans themselves.
func WriteJSON(w io.Writer, plans []site.Plan) error {
	for i := range plans {
		for _, seconds := range []*float64{&plans[i].RefillSeconds, &plans[i].ReturnSeconds} {
			if math.IsInf(*seconds, 1) {
				*seconds = -1
			}
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(plans)
}

// FullyServed reports whether all ops are served in every phase of a loss.
func FullyServed(p site.Plan) bool {
	for _, f := range p.Phases {
		if len(f.Shortages) > 0 {
			return false
		}
	}
	return true
}
