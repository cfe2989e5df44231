package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const referenceHead = `# Settings of buckthornd

This page is generated from the code: ` + "`go test ./internal/config -update`" + `.

The settings are one TOML file, named by ` + "`buckthornd --settings FILE`" + `. Unknown settings are errors. The
daemon checks all settings at its start, reports every error with file, line and column, and does not
start when there is one. ` + "`buckthornd settings`" + ` prints the settings in force; the secret is hidden.

Addresses are a numeric IP address and a port. Durations are strings such as "250ms", "5s" or "2m", and sizes
are strings such as "512B", "64KiB", "16MiB" or "1GiB". Relative paths are relative to the working directory.
`

// Text returns the settings in effect as TOML, with the secret hidden.
func (s *Settings) Text() string {
	var text strings.Builder
	table := ""
	for _, f := range settingFields(s) {
		if f.value.IsZero() && !f.hasTag("default") || strings.HasPrefix(f.name, "fleet.") && !s.Fleet.InUse() {
			continue
		}
		if dot := strings.IndexByte(f.name, '.'); dot >= 0 && f.name[:dot] != table {
			if table == "" {
				s.writeControlInstances(&text)
			}
			table = f.name[:dot]
			fmt.Fprintf(&text, "\n[%s]\n", table)
		}
		switch value := f.value.Interface().(type) {
		case []ControlInstance: // written as a table, which has to follow the plain settings
		case Secret:
			if s.SecretFile == "" {
				fmt.Fprintf(&text, "%s = %q\n", f.key(), value)
			}
		case int:
			fmt.Fprintf(&text, "%s = %d\n", f.key(), value)
		default:
			fmt.Fprintf(&text, "%s = %q\n", f.key(), fmt.Sprint(value))
		}
	}
	return text.String()
}

func (s *Settings) writeControlInstances(text *strings.Builder) {
	if s.Fleet.InUse() {
		return
	}
	text.WriteString("\n[control-addresses]\n")
	for _, control := range s.ControlAddresses {
		fmt.Fprintf(text, "%s = %q\n", control.Name, control.Address)
	}
}

// Reference returns the documentation of all settings in Markdown.
func Reference() string {
	var text strings.Builder
	text.WriteString(referenceHead)
	table := "-"
	for _, f := range settingFields(&Settings{}) {
		prefix, _, nested := strings.Cut(f.name, ".")
		if !nested {
			prefix = ""
		}
		if prefix != table {
			table = prefix
			if table != "" {
				fmt.Fprintf(&text, "\n## Table `[%s]`\n", table)
			}
			text.WriteString("\n| setting | type | default | bounds | meaning |\n| --- | --- | --- | --- | --- |\n")
		}
		defaultText, bounds := "", ""
		switch {
		case f.tag.Get("required") == "true":
			defaultText = "required"
		case f.tag.Get("required") == "alone":
			defaultText = "required without `[fleet]`"
		case f.hasTag("default"):
			defaultText = "`" + f.tag.Get("default") + "`"
		}
		if f.hasTag("min") {
			bounds = f.tag.Get("min") + " to " + f.tag.Get("max")
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", f.key(), f.typeName(), defaultText, bounds, f.tag.Get("doc"))
	}
	return text.String()
}

func (f field) key() string { return f.name[strings.IndexByte(f.name, '.')+1:] }

func (f field) hasTag(name string) bool {
	_, found := f.tag.Lookup(name)
	return found
}

func (f field) typeName() string {
	switch f.value.Interface().(type) {
	case int:
		return "number"
	case Size:
		return "size"
	case time.Duration:
		return "duration"
	case netip.AddrPort:
		return "address"
	case []ControlInstance:
		return "table"
	case AddressList:
		return "addresses"
	case Switch:
		return "yes or no"
	case Ratio:
		return "ratio"
	case zerolog.Level, string, Secret:
		return "string"
	}
	return f.value.Kind().String()
}
