//! Which services have their load managed beyond what earlier releases do.

use super::SiteCore;

impl SiteCore {
    /// Whether the load of a service's servers is managed: admission to overloaded owners takes
    /// effect.
    pub(super) fn is_load_managed(&self, service: &str) -> bool {
        self.config.managed_services.contains(service)
    }
}
