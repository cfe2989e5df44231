package opctl

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// Guards against example files that buckthornd refuses or whose sizes differ from those of the design page.
func TestExamples(t *testing.T) {
	type size struct{ slots, connections int }
	for example, sizes := range map[string]map[string]size{
		"quillhaven":     {"reader": {110, 750}, "scriptorium": {110, 750}, "bindery": {110, 750}, "kudos": {30, 280}},
		"voix-du-fleuve": {"suivi": {100, 700}, "cachet": {130, 900}, "bobine": {130, 900}, "cabine": {30, 280}},
		"chlodny-szlak":  {"katalog": {103, 718}, "kasa": {138, 928}, "rezerwacje": {138, 928}, "wydania": {19, 214}},
	} {
		t.Run(example, func(t *testing.T) {
			folder := filepath.Join("../../examples", example)
			text, err := os.ReadFile(filepath.Join(folder, "rules"))
			assert.NilError(t, err)
			set, err := rules.Parse("rules", text)
			assert.NilError(t, err)
			formatted, err := rules.Format("rules", text)
			assert.NilError(t, err)
			assert.Equal(t, string(formatted), string(text))

			assert.Equal(t, len(set.Services), len(sizes))
			served := map[string]bool{}
			for _, route := range set.Routes {
				served[route.Service] = true
			}
			for name, want := range sizes {
				service := set.Services[name]
				assert.Assert(t, service != nil && served[name], name)
				assert.Equal(t, size{service.Slots, service.Connections}, want, name)
			}
			assert.Equal(t, len(set.Accounts), 8)
			for name := range set.Accounts {
				key, ok := set.KeyFor("example-key-" + name)
				assert.Assert(t, ok && key.Account == name, name)
			}

			for _, file := range []string{"control.toml", "instance.toml"} {
				text, err := os.ReadFile(filepath.Join(folder, file))
				assert.NilError(t, err)
				settings, err := config.Parse(file, text, func(string) (string, error) { return "an example secret", nil })
				assert.NilError(t, err)
				assert.Equal(t, settings.DataFolder != "", file == "control.toml")
				assert.Equal(t, len(settings.ControlAddresses), 3)
			}
		})
	}
}
