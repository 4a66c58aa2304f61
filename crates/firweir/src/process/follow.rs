//! How the entry and the feed of a VM follow their steward's view.

use std::sync::Arc;
use std::time::Duration;

use crate::connection::client::within;
use crate::connection::peer::Peers;
use crate::process::run::Parts;
use crate::version::view::Observed;
use crate::version::view::SharedView;
use crate::version::view::View;
use crate::version::view::WireError;
use crate::version::view::read_view;
use crate::version::view::write_observed;
use crate::wire::firweir_capnp::steward;

/// Pause before the steward is tried again: it is on the same VM and restarts
/// within a second or so.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The steward answers at the latest after its own waits.
const VIEW_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between reports of a program to its steward.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Follows the steward for as long as the process lives; `on_view` is called
/// after each change. While the steward is away the last view stays in use.
pub async fn follow(
    parts: Parts,
    program: &'static str,
    view: SharedView,
    on_view: impl Fn(&View),
) {
    let peers: Peers<steward::Client> = Peers::new(&parts);
    loop {
        let known = view.load_full();
        match within(VIEW_TIMEOUT, next_view(&parts, &peers, program, &known)).await {
            Some(Ok(Some(newer))) => {
                let newer = Arc::new(not_below(newer, &known));
                view.store(Arc::clone(&newer));
                on_view(&newer);
            }
            Some(Ok(None)) => {}
            Some(Err(_)) | None => {
                peers.forget(parts.settings.steward_listen);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn next_view(
    parts: &Parts,
    peers: &Peers<steward::Client>,
    program: &str,
    known: &View,
) -> Result<Option<View>, WireError> {
    let steward = peers.get(parts.settings.steward_listen).await?;
    let mut request = steward.view_request();
    request.get().set_known(known.generation);
    request.get().set_program(program);
    request.get().set_revision(known.revision);
    let response = request.send().promise.await?;
    let results = response.get()?;
    if !results.has_view() || results.get_view()?.get_generation() == known.generation {
        return Ok(None);
    }
    Ok(Some(read_view(results.get_view()?, known)?))
}

/// A steward that restarted during an outage may hold an older revision than
/// this process has already served; the served one stays in force.
fn not_below(newer: View, known: &View) -> View {
    if newer.revision >= known.revision {
        return newer;
    }
    View {
        revision: known.revision,
        config: known.config.clone(),
        ..newer
    }
}

/// Reports what a program observes to the VM's steward, again and again; `observe`
/// gives the present state, and only changes are sent.
pub async fn report(parts: Parts, observe: impl Fn() -> Observed) {
    let peers: Peers<steward::Client> = Peers::new(&parts);
    let mut sent = None;
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        let observed = observe();
        if sent.as_ref() == Some(&observed) {
            continue;
        }
        let reported = within(VIEW_TIMEOUT, send_report(&parts, &peers, &observed)).await;
        if matches!(reported, Some(Ok(()))) {
            sent = Some(observed);
        } else {
            // A steward that restarted knows nothing of earlier reports.
            sent = None;
            peers.forget(parts.settings.steward_listen);
        }
    }
}

async fn send_report(
    parts: &Parts,
    peers: &Peers<steward::Client>,
    observed: &Observed,
) -> Result<(), WireError> {
    let steward = peers.get(parts.settings.steward_listen).await?;
    let mut request = steward.report_request();
    write_observed(observed, request.get().init_observed());
    request.send().promise.await?;
    Ok(())
}
