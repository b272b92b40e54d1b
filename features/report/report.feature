Feature: logs tell where requests lost their worth

  Scenario: answers, refusals and calls are added up by time
    # An operator is told that the morning was bad. The logs of six daemons,
    # with whatever a collector put before each line, are all there is.
    Given logs of two daemons with answers, a refusal and calls of a stage
    When a report is made of them
    Then it counts them in their spans of two seconds
    And it names the refusal's route and reason
    And it says how long stages took before the first event

  Scenario: a report says what was lost, why, and what was made for nothing
    # One stage is slow for a minute. Answers come late, a caller leaves, another
    # is refused, and results that were made for them lie about unused.
    Given logs of a minute in which a stage was slow and a decider changed
    When a report is made of them
    Then it says of each span what was lost and which part took the time
    And it says who fetched across data centres and what was made for nothing

  Scenario: a report has a line for each customer
    # Who pays for an overload is not visible by route. Lines of an older
    # release name no customer.
    Given logs of requests of two customers, and one without a customer
    When a report is made of them
    Then it counts for each customer how its requests ended

  Scenario: a report says of each kind of request where its worth went
    # Guards against a kind that is starved unseen, as its requests have several
    # routes, and against returns after a refusal that look punctual.
    Given logs of two kinds of requests, on time and not
    When a report is made of them
    Then it counts for each kind how its requests ended and where they were long

  Scenario: a report adds up retries over daemons and their restarts
    # Guards against a sum that no daemon can give: its own is gone with it.
    Given logs of retries by two processes of one daemon and by another daemon
    When a report is made of them
    Then it says for each service and span what was charged, refused and sent

  Scenario: files without such lines are refused
    Given a file of other text
    When a report is made of them
    Then it ends with exit code 2 and says why

  Scenario: a picture is drawn
    Given logs of two daemons with answers, a refusal and calls of a stage
    When a report is made of them with a picture
    Then the picture is a PNG
