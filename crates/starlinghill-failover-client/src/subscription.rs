//! How a gateway follows: one stream to any member; another member within a second when that one dies, falls silent
//! or can't say how old what it knows is. It translates and never chooses: what is done with what is heard is decided
//! by [`Follower`].

use crate::proto::group_client::GroupClient;
use crate::proto::{down, up, At, Hello, Question, Up};
use starlinghill_failover::bounds::Timing;
use starlinghill_failover::directive::DirectiveUpdate;
use starlinghill_failover::follower::{Action, Event, Follower, View};
use starlinghill_failover::wire::{decode, encode, MAX_MESSAGE_BYTES};
use starlinghill_failover::{Micros, Position};
use starlinghill_zone_health::report::Report;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, Interval, MissedTickBehavior};
use tokio_stream::wrappers::ReceiverStream;
use tracing::{info, warn};

/// The first pause before the next member is at most this long, drawn by chance: where a member dies, all that
/// followed it come to the others, and not at the same moment.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Pauses double up to this, while no member answers.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Questions under way; a member that answers none of so many is left by its silence long before.
const QUESTIONS: usize = 8;

/// Whom to follow, and as whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Where the members listen.
    pub members: Vec<SocketAddr>,
    /// This gateway's name.
    pub name: String,
    /// The zones of the operators' file.
    pub zones: Vec<String>,
    /// The zone that it is in; empty where it is in none of them.
    pub zone: String,
    /// Times.
    pub timing: Timing,
    /// The least generation of the group that is believed.
    pub generation: u64,
    /// For the choice of members and the pauses.
    pub seed: u64,
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// What a connection brings.
enum Heard {
    Told(DirectiveUpdate),
    Answer { asked: Micros, age: Option<Micros>, position: Position },
    Lost(String),
}

/// What is seen of zones, asked for when it is told.
pub type ReportSource = Arc<dyn Fn() -> Report + Send + Sync>;

/// How often what is seen is told.
const TELL: Duration = Duration::from_secs(1);

/// What is said of oneself with each question.
#[derive(Debug, Clone, Default)]
struct Status {
    held: Position,
    followed: Position,
    mode: String,
    whole: u64,
}

/// New settings, where whoever could send any is still there.
async fn renewed(changes: &mut watch::Receiver<Settings>) -> Settings {
    match changes.changed().await {
        Ok(()) => changes.borrow_and_update().clone(),
        Err(_) => std::future::pending().await,
    }
}

/// Follows until the receiver of views is gone. New settings hold at once: another member is asked by them, and what
/// was followed so far goes on meanwhile.
pub async fn follow(
    mut changes: watch::Receiver<Settings>,
    views: watch::Sender<View>,
    evidence: Option<ReportSource>,
) {
    let mut settings = changes.borrow_and_update().clone();
    if settings.members.is_empty() {
        return;
    }
    let begin = Instant::now();
    let now = move || Micros(u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let mut follower = Follower::new(settings.timing, settings.generation);
    let mut at = rng.usize(..settings.members.len());
    let (status, asked) = watch::channel(Status::default());
    let connect =
        |settings: &Settings, at: usize| connect(settings, at, begin, asked.clone(), evidence.clone());
    let (mut link, mut heard) = connect(&settings, at);
    let (mut failures, mut resume): (u32, Option<Instant>) = (0, None);
    let mut tick = ticks(&settings);
    follower.connected(now());
    loop {
        let mut actions = Vec::new();
        let mut left = None;
        tokio::select! {
            // What came before the tick is known when the age is looked at.
            biased;
            () = views.closed() => break,
            new = renewed(&mut changes), if resume.is_none() => {
                if new.members.is_empty() || new == settings {
                    continue;
                }
                follower.update_settings(new.timing, new.generation);
                // Not all at once: operators tell all gateways of a file in the same moment.
                resume = Some(Instant::now() + FIRST_PAUSE.mul_f64(rng.f64()));
                link.abort();
                tick = ticks(&new);
                at %= new.members.len();
                info!(members = new.members.len(), zones = new.zones.len(), "follows by new settings");
                settings = new;
            }
            news = heard.recv(), if resume.is_none() => match news {
                Some(Heard::Told(told)) => actions = follower.handle(now(), Event::Update(told)),
                Some(Heard::Answer { asked, age, position }) => {
                    failures = 0;
                    actions = follower.handle(now(), Event::Answer { asked_at: asked, age, position });
                }
                Some(Heard::Lost(why)) => left = Some(why),
                None => left = Some("the connection ended".into()),
            },
            () = tokio::time::sleep_until(resume.unwrap_or(begin)), if resume.is_some() => {
                resume = None;
                (link, heard) = connect(&settings, at);
                follower.connected(now());
            }
            _ = tick.tick() => actions = follower.handle(now(), Event::Tick),
        }
        for action in actions {
            match action {
                Action::Follow(view) => {
                    let age_ms = follower.age(now()).map(|age| age.0 / 1_000);
                    info!(mode = %view.mode, position = %view.position, ?age_ms, "zones by the group");
                    views.send_replace(view);
                }
                Action::RequestFull => status.send_modify(|s| s.whole += 1),
                Action::SwitchMember(why) if resume.is_none() => left = Some(why.to_string()),
                Action::SwitchMember(_) => {}
            }
        }
        status.send_if_modified(|s| {
            let new = (follower.held(), follower.view().position, follower.view().mode.to_string());
            let changed = (s.held, s.followed, &s.mode) != (new.0, new.1, &new.2);
            (s.held, s.followed, s.mode) = new;
            changed
        });
        if let Some(why) = left {
            link.abort();
            warn!(member = %settings.members[at], %why, "goes to another member of the group");
            at = (at + 1) % settings.members.len();
            let most = FIRST_PAUSE.saturating_mul(1 << failures.min(8)).min(LONGEST_PAUSE);
            failures = failures.saturating_add(1);
            resume = Some(Instant::now() + most.mul_f64(rng.f64()));
        }
    }
    link.abort();
}

fn ticks(settings: &Settings) -> Interval {
    let mut ticks = tokio::time::interval(span(settings.timing.tick_interval));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn connect(
    settings: &Settings,
    at: usize,
    begin: Instant,
    status: watch::Receiver<Status>,
    evidence: Option<ReportSource>,
) -> (JoinHandle<()>, mpsc::Receiver<Heard>) {
    // Bounded: a reader that falls behind makes the member wait, not this process's memory grow.
    let (tx, rx) = mpsc::channel(16);
    let settings = settings.clone();
    let task = tokio::spawn(async move {
        let why = converse(&settings, at, begin, status, evidence, &tx).await;
        // Where nobody listens any more there is nobody to tell.
        let _ = tx.send(Heard::Lost(why)).await;
    });
    (task, rx)
}

/// Speaks with one member until something goes wrong, and tells what.
async fn converse(
    settings: &Settings,
    at: usize,
    begin: Instant,
    mut status: watch::Receiver<Status>,
    evidence: Option<ReportSource>,
    out: &mpsc::Sender<Heard>,
) -> String {
    let patience = span(settings.timing.answer_timeout);
    let channel = match crate::client::channel(settings.members[at], patience) {
        Ok(channel) => channel,
        Err(e) => return e.to_string(),
    };
    let mut client = GroupClient::new(channel).max_decoding_message_size(2 * MAX_MESSAGE_BYTES);
    let (up, ups) = mpsc::channel(QUESTIONS);
    let hello = Hello {
        name: settings.name.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        zones: settings.zones.clone(),
        zone: settings.zone.clone(),
    };
    if up.try_send(Up { what: Some(up::What::Hello(hello)) }).is_err() {
        return "no room for the first message".into();
    }
    let mut inbound = match tokio::time::timeout(patience, client.follow(ReceiverStream::new(ups))).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return status.message().to_string(),
        Err(_) => return "no answer in time".into(),
    };
    let now = || Micros(u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut ask = tokio::time::interval(span(settings.timing.ask_interval));
    ask.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut number, mut wholes) = (0u64, status.borrow().whole);
    let mut open: Vec<(u64, Instant, Micros)> = Vec::new();
    let mut told: Option<Instant> = None;
    loop {
        let oldest = open.first().map(|(_, sent, _)| *sent + patience);
        let question = tokio::select! {
            biased;
            message = inbound.message() => {
                let heard = match message {
                    Ok(Some(message)) => message.what,
                    Ok(None) => return "the member ended the stream".into(),
                    Err(status) => return status.message().to_string(),
                };
                let heard = match heard {
                    Some(down::What::Told(bytes)) => match decode::<DirectiveUpdate>(&bytes) {
                        Ok(told) => Heard::Told(told),
                        Err(e) => return e.to_string(),
                    },
                    Some(down::What::Answer(answer)) => {
                        let Some(i) = open.iter().position(|(n, ..)| *n == answer.number) else {
                            return format!("an answer to question {}, which is not open", answer.number);
                        };
                        let (_, _, asked) = open[i];
                        // Answers come in order; questions before this one have none any more.
                        open.drain(..=i);
                        let position = answer.at.map(Position::from).unwrap_or_default();
                        Heard::Answer { asked, age: answer.age_us.map(Micros), position }
                    }
                    // A later version's message: this one can't know what it means.
                    None => return "a message that this version does not know".into(),
                };
                if out.send(heard).await.is_err() {
                    return "nobody listens".into();
                }
                false
            }
            () = tokio::time::sleep_until(oldest.unwrap_or(begin)), if oldest.is_some() => {
                return format!("no answer within {} ms", patience.as_millis());
            }
            changed = status.changed() => match changed {
                // What it follows is told at once: operators wait for it.
                Ok(()) => true,
                Err(_) => return "nobody listens".into(),
            },
            _ = ask.tick() => true,
        };
        if question && open.len() < QUESTIONS {
            number += 1;
            let s = status.borrow_and_update().clone();
            let whole = s.whole != wholes;
            wholes = s.whole;
            let (held, followed) = (Some(At::from(s.held)), Some(At::from(s.followed)));
            let due = evidence.as_ref().filter(|_| told.is_none_or(|at| at.elapsed() >= TELL));
            told = if due.is_some() { Some(Instant::now()) } else { told };
            let evidence = due.map(|evidence| encode(&evidence())).unwrap_or_default();
            let question = Question { number, held, followed, mode: s.mode, whole, evidence };
            // The time before it is sent: the age is reckoned long, never short.
            open.push((number, Instant::now(), now()));
            if up.try_send(Up { what: Some(up::What::Question(question)) }).is_err() {
                return "the member takes no more questions".into();
            }
        }
    }
}
