//! Finds a home for a model that has none, or whose home does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use crate::follow::Seeds;
use crate::link::LinkError;
use crate::link::Links;
use crate::roster::HOME_PATH;
use crate::roster::HomeQuestion;
use crate::roster::Roster;
use crate::submission::homes::Homes;
use crate::submission::records::Runner;

/// Time for a seed's answer, which it has in memory.
const SEED_PATIENCE: Duration = Duration::from_millis(250);

/// Seeds that are asked in turn: a trainer waits.
const SEED_TRIES: usize = 2;

/// Asks seeds for homes, or names them where this node is a seed; cheap to clone.
#[derive(Debug, Clone)]
pub struct Finder {
    /// The seeds, and whether this node is one.
    pub seeds: Seeds,
    /// Nodes that ask this one.
    pub roster: Arc<Roster>,
    /// Homes that are known.
    pub homes: Homes,
    /// Connections to seeds.
    pub links: Links,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

impl Finder {
    /// A home for a model, other than `but`; `None` where nobody knows a better one than the
    /// node that asks.
    pub async fn find(&self, model: &str, but: Option<SocketAddr>) -> Option<Runner> {
        let question = HomeQuestion {
            model: model.to_owned(),
            but,
        };
        let seeds = self.seeds.now();
        if seeds.is_seed {
            return self.answer(&question);
        }
        let first = rand::random_range(0..seeds.asked.len().max(1));
        let turns = seeds.asked.iter().cycle().skip(first);
        for seed in turns.take(SEED_TRIES.min(seeds.asked.len())) {
            match self.ask(*seed, &question).await {
                Ok(Some(home)) => return Some(home),
                // It may have started a moment ago.
                Ok(None) => {}
                Err(error) => self.journal.event(
                    "home_not_named",
                    &[("seed", seed), ("model", &model), ("cause", &error)],
                ),
            }
        }
        None
    }

    /// The home that this node names.
    #[must_use]
    pub fn answer(&self, question: &HomeQuestion) -> Option<Runner> {
        let now = self.clock.now();
        let home = self.roster.home_for(now, question, &self.homes.settled())?;
        self.journal.event(
            "home_named",
            &[("model", &question.model), ("home", &home.node)],
        );
        Some(home)
    }

    async fn ask(
        &self,
        seed: SocketAddr,
        question: &HomeQuestion,
    ) -> Result<Option<Runner>, LinkError> {
        let body = serde_json::to_vec(question).map_err(|_never| LinkError::NotSent)?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(HOME_PATH);
        let answer = self.links.call(seed, request, SEED_PATIENCE).await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| LinkError::Broken)
    }
}
