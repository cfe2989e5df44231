package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// routeParams are the parameters of a request for an explanation.
var routeParams = []string{admin.ParamMethod, admin.ParamHost, admin.ParamPath, admin.ParamAccount, admin.ParamNested}

// explainRoute returns where a request would go.
func (s *Server) explainRoute(r *http.Request) ([]byte, error) {
	query, err := routeQuery(r.URL.RawQuery)
	if err != nil {
		return nil, err
	}
	explain, err := s.Traffic.ExplainRoute(query)
	if err != nil {
		return nil, err
	}
	explain.Name = s.Name
	return json.Marshal(explain)
}

func routeQuery(text string) (*admin.RouteQuery, error) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidParameter, err)
	}
	for name, list := range values {
		if !slices.Contains(routeParams, name) || len(list) != 1 {
			return nil, fmt.Errorf("%w: %q, want each of %v at most once", errInvalidParameter, name, routeParams)
		}
	}
	query := &admin.RouteQuery{
		Method: values.Get(admin.ParamMethod), Host: values.Get(admin.ParamHost), Path: values.Get(admin.ParamPath),
		Account: values.Get(admin.ParamAccount),
	}
	if nested := values.Get(admin.ParamNested); nested != "" {
		if query.Nested, err = strconv.ParseBool(nested); err != nil {
			return nil, fmt.Errorf("%w: %s is %q, want true or false", errInvalidParameter, admin.ParamNested, nested)
		}
	}
	return query, query.Check()
}
