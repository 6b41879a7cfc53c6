package settings

import (
	"fmt"
	"testing"

	"minttray/policy"
)

// settingsWith returns settings with a category of each name, and a tenant "of NAME" whose quota is the number of proxies. A name
// that ends in "!" gives the category another effect.
func settingsWith(proxies int, names ...string) (s Settings) {
	s.Policy.Proxies = proxies
	for _, name := range names {
		c := policy.Category{Benefit: 1, TTL: 100}
		if name[len(name)-1] == '!' {
			name, c.Effect = name[:len(name)-1], policy.AtMostOnce
		}
		s.Categories, s.Policy.Categories = append(s.Categories, name), append(s.Policy.Categories, c)
		s.Tenants, s.Policy.Quotas = append(s.Tenants, "of "+name), append(s.Policy.Quotas, float64(proxies))
	}
	return s
}

// Guards against a reload that changes the index of a category or tenant: an op that is open under the old index would be taken
// for one of another category, and repeated where that is unsafe. The number of categories must stay limited.
func TestNumbersStandThroughReloads(t *testing.T) {
	format := func(s Settings) (text string) {
		for i, c := range s.Policy.Categories {
			text += fmt.Sprintf("%s/%d/%v ", s.Categories[i], c.Effect, c.Dropped)
		}
		for i, quota := range s.Policy.Quotas {
			text += fmt.Sprintf("%s/%v/%v ", s.Tenants[i], quota, s.Gone[i])
		}
		return text
	}
	s := settingsWith(2, "a", "b")
	for _, step := range []struct {
		new  Settings
		want string // name/effect/dropped of each category, then name/quota/removed of each tenant
	}{
		{settingsWith(3, "b", "a"), "a/0/false b/0/false of a/3/false of b/3/false "},
		{settingsWith(3, "b!", "c"), "a/0/true b/0/true b/2/false c/0/false of a/3/true of b/3/false of c/3/false "},
		{settingsWith(4, "b"), "a/0/true b/0/false b/2/true c/0/true of a/3/true of b/4/false of c/3/true "},
		{settingsWith(4, "a", "b!"), "a/0/false b/0/true b/2/false c/0/true of a/4/false of b/4/false of c/3/true "},
	} {
		joined, waiting, err := Join(s, step.new)
		if got := format(joined); err != nil || len(waiting) > 0 || got != step.want {
			t.Errorf("error %v, waiting %v\n got %s\nwant %s", err, waiting, got, step.want)
		}
		s = joined
	}
	for i := range maxIDs {
		var err error
		if s, _, err = Join(s, settingsWith(1, fmt.Sprint("n", i))); err != nil {
			if i < maxIDs-5 || len(s.Categories) > maxIDs {
				t.Errorf("reload %d, with %d categories: %v", i, len(s.Categories), err)
			}
			return
		}
	}
	t.Errorf("no limit of categories: %d after the reloads", len(s.Categories))
}
