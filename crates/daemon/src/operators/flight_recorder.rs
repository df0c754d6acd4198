//! The flight recorder of this process, which records the policy's turns if it is switched on.

use crate::settings::config::Config;
use crate::settings::operator::{self, RecorderStore};
use notchpoint_policy::{Action, EndpointId, Event, Micros, Sender};
use notchpoint_recorder::store::{FolderStore, MemoryStore};
use notchpoint_recorder::{Options, Recorder, recorder};
use notchpoint_seam::Clock;
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::rc::Rc;

/// The number of dumps that are kept; the oldest is deleted for a new one.
const MAX_DUMPS: usize = 4;

/// Records turns unless the recorder is switched off or has failed, and writes dumps of the recording.
pub struct FlightRecorder {
    clock: Rc<dyn Clock>,
    recorder: RefCell<Option<Recorder>>,
    folder: PathBuf,
    dumps: Cell<u32>,
}

thread_local! {
    /// The recorder that a panic of this thread dumps.
    static AT_PANIC: RefCell<Option<Rc<FlightRecorder>>> = const { RefCell::new(None) };
}

impl FlightRecorder {
    /// Starts recording if the operator has switched it on.
    pub fn open(
        settings: &operator::RecorderSettings,
        config: &Config,
        clock: Rc<dyn Clock>,
    ) -> Result<Rc<Self>, String> {
        let folder = settings.folder.clone().unwrap_or_default();
        let flight = |recorder| {
            Rc::new(Self {
                clock: clock.clone(),
                recorder: RefCell::new(recorder),
                folder: folder.clone(),
                dumps: Cell::new(0),
            })
        };
        let describe = |e: &dyn std::fmt::Display| format!("recorder: {}: {e}", folder.display());
        let (store, existing): (Box<dyn notchpoint_recorder::store::SegmentStore>, _) = match settings.store {
            RecorderStore::Off => return Ok(flight(None)),
            RecorderStore::Memory => {
                fs::create_dir_all(&folder).map_err(|e| describe(&e))?;
                (Box::new(MemoryStore::default()), Vec::new())
            }
            RecorderStore::Folder => {
                let (store, existing) = FolderStore::open(&folder).map_err(|e| describe(&e))?;
                (Box::new(store), existing)
            }
        };
        let options = Options {
            limit_bytes: settings.limit_bytes(),
            sender: config.name.clone(),
            classes: config.names.classes.clone(),
            settings: config.settings.clone(),
            seed: config.seed,
        };
        let recorder =
            Recorder::start(options, store, &existing, crate::input::CLOCK_START, clock.unix_now());
        let flight = flight(Some(recorder.map_err(|e| describe(&e))?));
        tracing::info!("{settings}");
        Ok(flight)
    }

    /// Records a turn. If the recorder is off, this only checks a flag.
    pub fn record_turn(&self, at: Micros, events: &[Event], actions: &[Action], after: &Sender) {
        let mut recorder = self.recorder.borrow_mut();
        if let Some(r) = recorder.as_mut()
            && let Err(why) = r.record_turn(at, self.clock.unix_now(), events, actions, after)
        {
            self.stop(&mut recorder, &why);
        }
    }

    /// Records the name of an endpoint.
    pub fn record_name(&self, endpoint: EndpointId, name: &str) {
        let mut recorder = self.recorder.borrow_mut();
        if let Some(r) = recorder.as_mut()
            && let Err(why) = r.record_name(endpoint, name)
        {
            self.stop(&mut recorder, &why);
        }
    }

    /// Forgets the names of endpoints that have left the list.
    pub fn retain_names(&self, listed: impl Fn(EndpointId) -> bool) {
        if let Some(r) = self.recorder.borrow_mut().as_mut() {
            r.retain_names(listed);
        }
    }

    /// Ends a recording that cannot be written, with a log line: the sender matters more than its recording.
    fn stop(&self, recorder: &mut Option<Recorder>, why: &recorder::Error) {
        tracing::warn!("recorder: {}: {why}; recording ends", self.folder.display());
        *recorder = None;
    }

    /// Ends the recording, so that another process can go on in the same folder.
    pub fn close(&self) {
        self.recorder.borrow_mut().take();
    }

    /// Writes all that is recorded to a new file and returns its path; `None` if the recorder is off.
    pub fn dump(&self) -> io::Result<Option<PathBuf>> {
        // During a panic while a turn is being recorded the recorder is in use; the complete records before
        // it are in the recorder's store.
        let Ok(recorder) = self.recorder.try_borrow() else { return Ok(None) };
        let Some(recorder) = recorder.as_ref() else { return Ok(None) };
        let mut old: Vec<PathBuf> = fs::read_dir(&self.folder)?.flatten().map(|e| e.path()).collect();
        let is_dump = |p: &PathBuf| {
            let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
            name.starts_with("dump-") && name.ends_with(".nptrec")
        };
        old.retain(is_dump);
        old.sort();
        for path in old.iter().take((old.len() + 1).saturating_sub(MAX_DUMPS)) {
            fs::remove_file(path)?;
        }
        self.dumps.set(self.dumps.get() + 1);
        let path = self.folder.join(format!(
            "dump-{:016}-{:03}.nptrec",
            self.clock.unix_now(),
            self.dumps.get() % 1_000
        ));
        let partial = path.with_extension("half");
        let written = File::create(&partial).and_then(|file| {
            let mut file = BufWriter::new(file);
            recorder.dump(&mut file)?;
            file.flush()?;
            fs::rename(&partial, &path)
        });
        written.inspect_err(|_| drop(fs::remove_file(&partial)))?;
        Ok(Some(path))
    }

    /// Makes a panic of this thread write a dump.
    pub fn dump_on_panic(self: &Rc<Self>) {
        if self.recorder.borrow().is_none() {
            return;
        }
        AT_PANIC.with_borrow_mut(|f| *f = Some(self.clone()));
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            previous_hook(panic);
            let flight = AT_PANIC.try_with(|f| f.try_borrow().ok().and_then(|f| f.clone())).ok().flatten();
            match flight.map(|f| f.dump()) {
                Some(Ok(Some(path))) => tracing::warn!("recording written to {}", path.display()),
                Some(Err(why)) => tracing::warn!("recording could not be written: {why}"),
                _ => {}
            }
        }));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use notchpoint_recorder::{Recording, replay, replay::NoObserver};
    use notchpoint_seam::system::SystemClock;

    #[test]
    fn a_panic_dumps_the_recording() {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = operator::RecorderSettings {
            store: RecorderStore::Memory,
            folder: Some(folder.path().to_owned()),
            limit_mb: 1.0,
        };
        let config = crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
        let flight = FlightRecorder::open(&settings, &config, Rc::new(SystemClock)).expect("begun");
        flight.dump_on_panic();
        let mut sender = Sender::new(config.settings.clone(), config.seed).expect("sound");
        let mut actions = Vec::new();
        for n in 0..10u64 {
            let at = crate::input::CLOCK_START + n;
            actions.clear();
            sender.handle(at, &[Event::Wake], &mut actions);
            flight.record_turn(at, &[Event::Wake], &actions, &sender);
        }
        assert!(std::panic::catch_unwind(|| panic!("a fault in the sender")).is_err());
        let dumps: Vec<PathBuf> =
            fs::read_dir(folder.path()).expect("read").flatten().map(|e| e.path()).collect();
        assert_eq!(dumps.len(), 1, "{dumps:?}");
        let bytes = fs::read(&dumps[0]).expect("read");
        let played = replay(&Recording::read(&bytes), &mut NoObserver);
        assert!(played.is_equal() && played.turns == 10, "{played:?}");
    }

    #[test]
    fn a_recording_that_cannot_be_written_ends_and_turns_continue() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("recording");
        let settings = operator::RecorderSettings {
            store: RecorderStore::Folder,
            folder: Some(path.clone()),
            limit_mb: 0.25,
        };
        let config = crate::settings::config::read(crate::settings::config::tests::TEXT).expect("sound");
        let flight = FlightRecorder::open(&settings, &config, Rc::new(SystemClock)).expect("begun");
        // Without the folder the next segment cannot be created.
        fs::remove_dir_all(&path).expect("removed");
        let mut sender = Sender::new(config.settings.clone(), config.seed).expect("sound");
        let lines = vec![Action::Log("a line that takes room".repeat(100))];
        for n in 0..200u64 {
            let at = crate::input::CLOCK_START + n;
            sender.handle(at, &[Event::Wake], &mut Vec::new());
            flight.record_turn(at, &[Event::Wake], &lines, &sender);
        }
        assert!(flight.recorder.borrow().is_none(), "recording continues without its folder");
        assert!(flight.dump().is_ok_and(|d| d.is_none()));
    }
}
