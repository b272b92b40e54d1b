Feature: logs tell where requests lost their worth

  Scenario: answers, refusals and calls are added up by time
    # An operator is told that the morning was bad. The logs of six daemons,
    # with whatever a collector put before each line, are all there is.
    Given logs of two daemons with answers, a refusal and calls of a stage
    When a report is made of them
    Then it counts them in their spans of two seconds
    And it names the refusal's route and reason
    And it says how long stages took before the first event

  Scenario: files without such lines are refused
    Given a file of other text
    When a report is made of them
    Then it ends with exit code 2 and says why

  Scenario: a picture is drawn
    Given logs of two daemons with answers, a refusal and calls of a stage
    When a report is made of them with a picture
    Then the picture is a PNG
