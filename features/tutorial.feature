@no_world
Feature: The tutorial works as written

  Scenario: the commands of the tutorial, one after the other
    Given the programs of the tutorial's first steps run
    When the other commands of the tutorial are run as written
    Then the configuration came in force on 1 of 1 instances
    And the model answered with 8 tokens
    And both reservations name the same execution
    And the report on burn was written
    And the withdrawn key is refused
    And the entry ends by itself after the drain
