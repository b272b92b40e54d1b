Feature: recovery after the loss of all daemons

  Scenario: daemons that start together discover one another at once
    # A loss of power stops all nine daemons, and they come back within half a
    # second. Each discovered the others one by one, in rounds of probes; for a
    # second up to nine of nine decided for one stage service, each alone.
    Given nine daemons that the platform lists
    When all of them start within 300 ms and announce that they serve
    Then each knows all of them 100 ms after the last one started
    And without the announcement they take longer

  Scenario: a daemon that restarts alone receives the state of all others
    # One host restarts in a stable fleet. Gossip had passed on the state of the
    # others often enough before and did not send it to the new process: it sent
    # callers only to itself, and decided alone for its own requests.
    Given nine daemons that have known one another for a minute
    When one of them is killed and starts again
    Then it has the state of the other eight within half a second

  Scenario: a decider requests memory reports before its first call
    # The previous decider is gone, and its results are in the replicas' memory.
    # Its successor counted that memory as free, and its calls found none.
    Given a replica with 2.78 MB that others have filled except for 0.7 MB
    When a decider takes over and the replica reports whole megabytes
    Then it makes no call before the report
    And its first call holds no more than may be free

  Scenario: a memory report corrects an estimate that is too high
    # Results of dead daemons expire after four seconds. The decider still
    # counted them for four seconds after the last piece that found no memory.
    Given a replica with 2.78 MB that is estimated to be full
    When the replica reports that 2 MB are free
    Then calls are full again except for memory that may be in use

  Scenario: results freed since a report do not count as results of others
    # Memory reports are 200 ms old. A daemon's own results that were freed
    # since counted as results of others, and the queue starved beside an empty
    # memory.
    Given a replica with 2.78 MB that is full of known results
    When they are freed and the replica still reports no free memory
    Then all of its memory is used

  Scenario: a caller that has tried elsewhere is recognised by its time left
    # After an outage most callers have used up the time in which an answer has
    # its full value. Treated as new ones they made requests late that could
    # still be on time.
    Given a route whose callers wait 5 to 6 seconds
    When one caller waits 5.2 seconds, and another one waits 3
    Then the first is new, and the second has been trying for 2.6 seconds

  Scenario: a daemon that has just started recognises them too
    Given a route that keeps callers waiting for 6 seconds at most
    When its first caller waits 4.4 seconds
    Then it has been trying for 1.2 seconds

  Scenario: inputs are freed once a call has had time to fetch them
    # The memory of the second stage's replicas limits throughput. Its results
    # were kept until the third stage's calls ended, three times as long as they
    # were used. Where memory is plentiful they are kept, so that a failed piece
    # can be computed again from them.
    Given pieces in a call whose inputs no other work needs
    When the call has had time to fetch them
    Then their inputs are freed, once all pieces of the request are in calls

  Scenario: inputs are kept where freeing them is useless or unsafe
    # A failed piece is computed again from its inputs. And where two daemons
    # decide for a moment, a call queues behind the other's before it fetches.
    Given a decider that may free inputs early
    Then it does with a backlog and a stable set of daemons
    And it does not without a backlog
    And it does not within 3 seconds of a daemon that joined or left

  Scenario: only the piece whose inputs are gone is computed again
    # One of ten pieces failed after its inputs had been freed. All ten, and the
    # stages before them, were computed again, which made the request late.
    Given stages of which the second loses the inputs of one piece
    When a request of 1 and 3 pieces runs through both of them
    Then its inputs and only the lost piece are computed again, before others
    And the request has the results of all three

  Scenario: results that lost inputs were computed from are computed again too
    # The first stage's result was freed once the second had its own. Without it
    # the second stage cannot be computed again, and the request failed in the
    # end.
    Given stages of which the third loses the inputs of one piece
    When a request runs through all three of them
    Then all that was freed is computed again, and the request has its results

  Scenario: repeated work goes before work that was not started
    # The other results of the request occupy replica memory meanwhile.
    Given a decider with new work and with repeated work
    Then the latter counts as started

  Scenario: a late request is not started while its stages have a backlog
    # Once started, its first results occupied memory until they expired four
    # seconds later and were computed again, as the second stage had a backlog
    # of that length.
    Given stages of which the second has a backlog of 3 seconds
    When a request arrives that can no longer be on time
    Then it starts nothing for 2.5 seconds and is told when to retry
    And it starts as soon as the backlog is gone
    And one that can be on time starts at once

  Scenario: of late requests the most urgent go first, then those with most time left
    # Ordered by deadline all of them were finished just as their callers gave
    # up.
    Given a stage queue with calls of 5 pieces and one replica
    When three late requests are queued, two of one priority
    Then the call holds the more urgent one, then the one with most time left

  Scenario: a late request that is not started in time is refused
    # Its caller can retry when there is capacity. Kept until its deadline it
    # would be refused as well, ten seconds later.
    Given a stage queue with calls of 5 pieces and one replica
    When a late request waits behind others for 2.6 seconds
    Then it is settled as late, and started or feasible requests are not

  Scenario: late requests with inputs in scarce memory are not delayed
    # A late request's inputs fill the memory of the previous stage. Queued
    # behind all requests that can be on time they stayed there until they
    # expired, were computed again, and the queue never shrank.
    Given a stage queue with calls of 5 pieces and one replica
    When late pieces with inputs in scarce memory are queued among feasible ones
    Then they go into the next call
    And late pieces without go behind the feasible ones
