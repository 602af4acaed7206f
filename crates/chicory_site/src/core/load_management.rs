//! Which services have their load managed beyond what earlier releases do.

use super::SiteCore;

impl SiteCore {
    /// Whether the load of a service's servers is managed: admission to overloaded owners takes
    /// effect. That is so for services whose servers state their load, on deployments with unequal
    /// entry VMs, and where the settings name the service.
    pub(super) fn is_load_managed(&self, service: &str) -> bool {
        self.config.managed_services.contains(service) || self.shared_slots.is_managed(service)
    }
}
