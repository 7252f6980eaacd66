//! A site: the platform, engines and services as stand-ins.

use std::io;
use std::time::Duration;

use tanagerhub_catalogue::{Vm, VmId, VmState};
use tanagerhub_clock::Clock;

use crate::{
    DATA_CENTRES, EngineSettings, EngineStandin, Event, Fabric, PlatformStandin, Recorder,
    SHOP_API, ServiceStandin, WeightStore,
};

/// The size and timing of a site.
///
/// # Examples
///
/// ```
/// use tanagerhub_clock::Clock;
/// use tanagerhub_standins::SiteSettings;
///
/// # async_std::task::block_on(async {
/// let settings = SiteSettings::default().domains(1).vms(2);
/// let site = settings.start(Clock::real()).await.unwrap();
/// assert_eq!(site.engines.len(), 6);
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of fabric domains in each data centre.
    pub domains: u32,
    /// Number of VMs with engines in each fabric domain.
    pub vms: u32,
    /// Name of the plain service, which has one VM in each data centre.
    pub service: String,
    /// Settings of all engines, except for the name, which each engine gets from its VM.
    pub engine: EngineSettings,
    /// Maximum number of engines that load weights at the same time.
    pub max_parallel_loads: usize,
    /// Time to load the weights of one engine.
    pub load_time: Duration,
    /// Time after which a new list of VMs becomes visible at the platform.
    pub vm_list_lag: Duration,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            data_centres: DATA_CENTRES.map(str::to_owned).to_vec(),
            domains: 2,
            vms: 4,
            service: SHOP_API.to_owned(),
            engine: EngineSettings::default(),
            max_parallel_loads: 8,
            load_time: Duration::from_millis(200),
            vm_list_lag: Duration::from_millis(200),
        }
    }
}

impl SiteSettings {
    /// Sets the number of fabric domains in each data centre.
    #[must_use]
    pub const fn domains(mut self, domains: u32) -> Self {
        self.domains = domains;
        self
    }

    /// Sets the number of VMs with engines in each fabric domain.
    #[must_use]
    pub const fn vms(mut self, vms: u32) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the settings of all engines.
    #[must_use]
    pub fn engine(mut self, engine: EngineSettings) -> Self {
        self.engine = engine;
        self
    }

    /// Sets how many engines load weights at the same time, and how long each takes.
    #[must_use]
    pub const fn loading(mut self, parallel: usize, load_time: Duration) -> Self {
        self.max_parallel_loads = parallel;
        self.load_time = load_time;
        self
    }

    /// Starts all stand-ins and lists their VMs at the platform.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be bound.
    pub async fn start(&self, clock: Clock) -> io::Result<Site> {
        let recorder = Recorder::new(clock.clone());
        let weights = WeightStore::new(clock.clone(), self.max_parallel_loads, self.load_time);
        let mut site = Site {
            platform: PlatformStandin::start(clock.clone()).await?,
            fabric: Fabric::new(clock.clone(), recorder.clone(), weights),
            engines: Vec::new(),
            services: Vec::new(),
            recorder,
            clock,
        };
        for data_centre in &self.data_centres {
            self.add_data_centre(&mut site, data_centre).await?;
        }
        site.platform.set_vms(site.vms());
        site.platform.set_vm_list_lag(self.vm_list_lag);
        Ok(site)
    }

    async fn add_data_centre(&self, site: &mut Site, data_centre: &str) -> io::Result<()> {
        for domain in 0..self.domains {
            let domain = format!("{data_centre}-f{domain}");
            for vm in 0..self.vms {
                let name = format!("{domain}-{vm}");
                site.add_engine(&self.engine, &name, data_centre, &domain)
                    .await?;
            }
        }
        let name = format!("{data_centre}-{}", self.service);
        site.add_service(&self.service, &name, data_centre).await
    }
}

/// The stand-ins of a site, which all run in this process.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: PlatformStandin,
    /// The shared state of the engines.
    pub fabric: Fabric,
    /// The engines with their VMs, by data centre, fabric domain and number.
    pub engines: Vec<BackendServer<EngineStandin>>,
    /// The plain services with their VMs, in order of data centres.
    pub services: Vec<BackendServer<ServiceStandin>>,
    /// The recorder that all of them share.
    pub recorder: Recorder,
    /// The clock that all of them share.
    pub clock: Clock,
}

/// A stand-in for a backend server, with the VM that it runs on.
#[derive(Debug)]
pub struct BackendServer<T> {
    /// The engine or service.
    pub standin: T,
    /// Its VM, as the platform lists it.
    pub vm: Vm,
}

impl Site {
    /// Returns the VMs of all backend servers, as listed at the start.
    #[must_use]
    pub fn vms(&self) -> Vec<Vm> {
        let engines = self
            .engines
            .iter()
            .map(|backend_server| backend_server.vm.clone());
        let services = self
            .services
            .iter()
            .map(|backend_server| backend_server.vm.clone());
        engines.chain(services).collect()
    }

    /// Returns the engine on this VM.
    #[must_use]
    pub fn engine(&self, vm: VmId) -> Option<&EngineStandin> {
        let backend_server = self
            .engines
            .iter()
            .find(|backend_server| backend_server.vm.id() == vm)?;
        Some(&backend_server.standin)
    }

    /// Returns the engines of a fabric domain.
    pub fn domain(&self, name: &str) -> impl Iterator<Item = &EngineStandin> {
        self.engines
            .iter()
            .filter(move |backend_server| backend_server.vm.domain == name)
            .map(|backend_server| &backend_server.standin)
    }

    /// Returns the service on this VM.
    #[must_use]
    pub fn service(&self, vm: VmId) -> Option<&ServiceStandin> {
        let backend_server = self
            .services
            .iter()
            .find(|backend_server| backend_server.vm.id() == vm)?;
        Some(&backend_server.standin)
    }

    /// Pauses all engines of a fabric domain: connections stay open without responses.
    pub fn pause_domain(&self, domain: &str) {
        self.domain(domain).for_each(EngineStandin::pause);
    }

    /// Resumes the engines that [`pause_domain`](Self::pause_domain) paused.
    pub fn resume_domain(&self, domain: &str) {
        self.domain(domain).for_each(EngineStandin::resume);
    }

    /// Kills every engine and service, and stops the platform.
    pub async fn stop(&self) {
        for backend_server in &self.engines {
            backend_server.standin.kill().await;
        }
        for backend_server in &self.services {
            backend_server.standin.kill().await;
        }
        self.platform.stop().await;
    }

    async fn add_engine(
        &mut self,
        engine: &EngineSettings,
        name: &str,
        data_centre: &str,
        domain: &str,
    ) -> io::Result<()> {
        let mut engine = engine.clone();
        name.clone_into(&mut engine.name);
        let standin = EngineStandin::start(&self.fabric, engine).await?;
        let vm = Vm {
            name: name.to_owned(),
            address: standin.address(),
            data_centre: data_centre.to_owned(),
            domain: domain.to_owned(),
            service: None,
            state: VmState::Live,
        };
        self.record_deployment(&vm);
        self.engines.push(BackendServer { standin, vm });
        Ok(())
    }

    async fn add_service(&mut self, entry: &str, name: &str, data_centre: &str) -> io::Result<()> {
        let standin =
            ServiceStandin::start(self.clock.clone(), self.recorder.clone(), name).await?;
        let vm = Vm {
            name: name.to_owned(),
            address: standin.address(),
            data_centre: data_centre.to_owned(),
            domain: format!("{data_centre}-services"),
            service: Some(entry.to_owned()),
            state: VmState::Live,
        };
        self.record_deployment(&vm);
        self.services.push(BackendServer { standin, vm });
        Ok(())
    }

    fn record_deployment(&self, vm: &Vm) {
        self.recorder.record(Event::Deployed {
            vm: vm.id(),
            data_centre: vm.data_centre.clone(),
        });
    }
}
