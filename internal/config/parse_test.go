package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const testSecret = "correct horse battery staple"

func fakeSecret(path string) (string, error) {
	if path != "secret" {
		return "", fmt.Errorf("open %s: no such file", path)
	}
	return testSecret + "\n", nil
}

// Guards against accepting settings with which the daemon cannot run, and against reports that stop at the
// first error or lack its position. Each file has a golden report.
func TestParseFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			var report string
			settings, err := Parse(filepath.Base(file), text, fakeSecret)
			if err != nil {
				report = err.Error() + "\n"
			} else {
				report = settings.Text()
			}
			golden.Assert(t, report, strings.TrimSuffix(filepath.Base(file), ".toml")+".golden")
		})
	}
}

// Guards against a secret that appears in printed settings or log lines.
func TestSecretIsHidden(t *testing.T) {
	text, err := os.ReadFile("testdata/valid.toml")
	assert.NilError(t, err)
	settings, err := Parse("valid.toml", text, fakeSecret)
	assert.NilError(t, err)
	assert.Equal(t, string(settings.Secret), testSecret)
	for _, printed := range []string{settings.Text(), fmt.Sprintf("%v %+v %#v", settings, settings, *settings)} {
		assert.Assert(t, !strings.Contains(printed, "horse"), printed)
	}
}

// Guards against a secret file that every user of the machine can read.
func TestSecretFileMode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(path, []byte(testSecret), 0o600))
	secret, err := readSecret(path)
	assert.NilError(t, err)
	assert.Equal(t, secret, testSecret)
	assert.NilError(t, os.Chmod(path, 0o644))
	_, err = readSecret(path)
	assert.ErrorContains(t, err, "mode 0644")
}

// Guards against printed settings that buckthornd would not accept as a settings file.
func TestTextParses(t *testing.T) {
	text, err := os.ReadFile("testdata/valid.toml")
	assert.NilError(t, err)
	settings, err := Parse("valid.toml", text, fakeSecret)
	assert.NilError(t, err)
	reparsed, err := Parse("printed", []byte(settings.Text()), fakeSecret)
	assert.NilError(t, err)
	assert.DeepEqual(t, reparsed.Text(), settings.Text())
}

// Guards against a reference page that differs from the code, and against settings without documentation.
func TestReference(t *testing.T) {
	for _, f := range settingFields(&Settings{}) {
		assert.Assert(t, f.tag.Get("doc") != "" && f.tag.Get("toml") != "", f.name)
		assert.Equal(t, f.hasTag("min"), f.hasTag("max"), f.name)
	}
	golden.Assert(t, Reference(), "../../../docs/settings.md")
}
