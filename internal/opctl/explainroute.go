package opctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

type explainRouteCommand struct {
	Method  string `arg:"positional,required" placeholder:"METHOD" help:"method of the request, such as GET"`
	Path    string `arg:"positional,required" placeholder:"PATH" help:"path of the request, percent-encoded; a query is ignored"`
	Host    string `arg:"--host" placeholder:"HOST" help:"host of the request; required on the users' platform, not used elsewhere"`
	Account string `arg:"--account" placeholder:"NAME" help:"client account of the request, by its name; a key is never needed"`
	Nested  bool   `arg:"--nested" help:"the request is a call of a backend server"`
}

func (*explainRouteCommand) command() {}

func (c *explainRouteCommand) run(ctx context.Context, s *session) (outcome, error) {
	client, err := s.adminClient()
	if err != nil {
		return outcome{}, err
	}
	path, _, _ := strings.Cut(c.Path, "?")
	query := admin.RouteQuery{Method: c.Method, Path: path, Host: c.Host, Account: c.Account, Nested: c.Nested}
	if err := query.Check(); err != nil {
		return outcome{}, &usageError{err}
	}
	explain, err := client.ExplainRoute(ctx, query)
	if err != nil {
		return outcome{}, err
	}
	return outcome{value: explain, text: func(p *printer) { printRoute(p, explain) }}, nil
}

func printRoute(p *printer, e *admin.RouteExplain) {
	p.table(append(routeRows(e), decisionRows(e)...))
	p.line("")
	p.table(serverRows(e))
	p.line("")
	p.table(costRows(e))
	for _, note := range e.Notes {
		p.line("note: %s", printable(note))
	}
}

// routeRows describes the request, its route and its client account.
func routeRows(e *admin.RouteExplain) [][]string {
	kind := "request"
	if e.Request.Nested {
		kind = "nested call"
	}
	configuration := "lease valid"
	if !e.Fresh {
		configuration = "lease expired"
	}
	route := e.Route
	rows := [][]string{
		{"daemon", fmt.Sprintf("%s at %s", e.Name, formatTime(e.Time))},
		{kind, fmt.Sprintf("%s %s%s", e.Request.Method, e.Request.Host, e.Request.Path)},
		{"configuration", fmt.Sprintf("revision %d, %s, %s old", e.Revision, configuration, rounded(e.ContactAge))},
		{"route", fmt.Sprintf("%s to %s: %s, %s, deadline %s", route.Name, e.Service, route.Access, route.Urgency, route.Deadline)},
	}
	if route.Rule != "" {
		rows = append(rows, []string{"rule", route.Rule})
		rows = append(rows, []string{"requested by", route.Requester}, []string{"text", route.Text})
	}
	for _, part := range route.Parts {
		rows = append(rows, []string{"split", fmt.Sprintf("%s, weight %d", part.Service, part.Weight)})
	}
	if a := e.Account; a != nil {
		state := fmt.Sprintf("%s, rate %s, burst %d, %d tokens here: %s", a.Name, a.Rate, a.Burst, a.Tokens, a.State)
		if a.RefusedFor > 0 {
			state += " for " + rounded(a.RefusedFor)
		}
		if a.Fallback > 0 {
			state += fmt.Sprintf(", %.1f requests/s", a.Fallback)
		}
		if a.Rule != "" {
			state += " (" + a.Rule + ")"
		}
		rows = append(rows, []string{"account", state})
	}
	return rows
}

// decisionRows describes what the daemon would decide.
func decisionRows(e *admin.RouteExplain) [][]string {
	var rows [][]string
	if e.Throttle > 0 {
		rows = append(rows, []string{"throttle", "refuses with a chance of " + percent(e.Throttle)})
	}
	for _, r := range e.Retries {
		rows = append(rows, []string{"retries, " + r.Cause, fmt.Sprintf("%.1f of %.1f used", r.Used, r.Limit)})
	}
	regions := "all"
	if e.Restricted {
		regions = "only " + strings.Join(e.Regions, ", ")
	}
	evacuated := "none"
	if len(e.Evacuated) > 0 {
		evacuated = strings.Join(e.Evacuated, ", ")
	}
	own := "none of this service"
	if a := e.Admission; a.Server != "" {
		own = fmt.Sprintf("%s: %s, %d running, %d waiting, limit %d, wait %s",
			a.Server, strings.TrimSpace(a.Decision+" "+a.Reason), a.Running, a.Waiting, a.Limit, rounded(a.Wait))
	}
	rows = append(rows, []string{"regions", regions}, []string{"evacuated", evacuated}, []string{"own server", own})
	if e.Refused != "" {
		rows = append(rows, []string{"refused", e.Refused})
	}
	return append(rows, []string{"choice", e.Choice}, []string{"runner-up", e.RunnerUp})
}

// serverRows lists the servers, the most likely first.
func serverRows(e *admin.RouteExplain) [][]string {
	rows := [][]string{{"server", "zone", "region", "cost", "chance", "report", "unreported", "others", "excluded"}}
	for i := range e.Servers {
		s := &e.Servers[i]
		age := "none"
		if s.Reported {
			age = rounded(s.ReportAge)
		}
		chance := percent(s.Chance)
		if s.Explored {
			chance += " (explored)"
		}
		rows = append(rows, []string{
			s.ID, s.Zone, s.Region, rounded(s.Cost), chance, age,
			strconv.Itoa(s.Unreported), fmt.Sprintf("%.1f", s.Others), s.Excluded,
		})
	}
	return rows
}

// costRows lists the parts of the cost of each server.
func costRows(e *admin.RouteExplain) [][]string {
	var rows [][]string
	for i := range e.Servers {
		s := &e.Servers[i]
		if i == 0 {
			header := []string{"cost of"}
			for _, part := range s.Parts {
				header = append(header, part.Name)
			}
			rows = append(rows, header)
		}
		row := []string{s.ID}
		for _, part := range s.Parts {
			row = append(row, rounded(part.Cost))
		}
		rows = append(rows, row)
	}
	return rows
}

// rounded returns a duration in steps that are useful to read.
func rounded(d admin.Duration) string { return time.Duration(d).Round(10 * time.Microsecond).String() }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
