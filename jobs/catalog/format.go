package catalog

// Format reads operators' records.
type Format struct {
	// ConfigKey is the key of the configuration, and Config decodes its value.
	ConfigKey string
	Config    func(value []byte) (*Catalog, error)
	// CordonedZone returns the availability zone that records with a key cordon; false if they are about something else.
	CordonedZone func(key string) (zone string, ok bool)
	// CheckCordon says what is wrong with the value of such a record.
	CheckCordon func(value []byte) error
	// Zones are the availability zones that there are. A cordon of another one is kept, and logged as a likely slip.
	Zones []string
}

// zoneOf returns the zone that a record is about; false if it is about something else.
func (f Format) zoneOf(key string) (string, bool) {
	if f.CordonedZone == nil {
		return "", false
	}
	return f.CordonedZone(key)
}
